import { toError } from '../errors/index.js';

/** When a call ends. */
export interface TimeLimit {
  readonly timeoutMs: number;
  /** Ends the call before its time limit. */
  readonly signal?: AbortSignal | undefined;
}

/**
 * Runs a call that ends after its time limit, or when its signal aborts, whatever phase it is in: undici, for example, heeds
 * a signal only once a connection is established. A signal of `AbortSignal.timeout` that is only a source of
 * `AbortSignal.any` may be garbage collected, and then never aborts.
 *
 * @param limit - time limit of the call, and a signal that ends it earlier
 * @param perform - performs the call, and should give it up once the passed signal aborts
 * @returns the result of the call
 * @throws the reason of the abort, or what the call throws
 */
export const runWithTimeLimit = async <Result>(
  { timeoutMs, signal }: TimeLimit,
  perform: (limitSignal: AbortSignal) => Promise<Result>,
): Promise<Result> => {
  const controller = new AbortController();
  const abort = (): void => controller.abort(signal?.reason);
  const timer = setTimeout(
    () => controller.abort(new Error(`no answer within ${timeoutMs} ms`)),
    timeoutMs,
  );
  if (signal?.aborted === true) abort();
  signal?.addEventListener('abort', abort, { once: true });
  const aborted = new Promise<never>((_resolve, reject) => {
    // A call that heeds its signal decides itself how it ends.
    const rejectCall = (): void =>
      void setImmediate(() => reject(toError(controller.signal.reason)));
    if (controller.signal.aborted) rejectCall();
    else controller.signal.addEventListener('abort', rejectCall, { once: true });
  });
  try {
    return await Promise.race([perform(controller.signal), aborted]);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener('abort', abort);
  }
};

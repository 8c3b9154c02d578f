import { HTTP_STATUS } from './constants.js';
import { ResultCode, RunState } from './resultCode.js';

/** Optional properties of an error. */
export interface SardinegradeErrorOptions {
  /** Whether the request was executed; `not_run` by default. */
  readonly run?: RunState;
  /** Delay before the caller may retry, in milliseconds; absent if a retry cannot succeed. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Base class of all errors with a result code. */
export class SardinegradeError extends Error {
  readonly code: ResultCode;
  readonly run: RunState;
  readonly retryAfterMs: number | undefined;

  constructor(code: ResultCode, message: string, options: SardinegradeErrorOptions = {}) {
    super(message, { cause: options.cause });
    this.name = 'SardinegradeError';
    this.code = code;
    this.run = options.run ?? RunState.NotRun;
    this.retryAfterMs = options.retryAfterMs;
  }

  /** HTTP status of the response that reports this error. */
  get httpStatus(): number {
    return HTTP_STATUS[this.code];
  }
}

/**
 * Converts any thrown value to an error with a result code.
 *
 * @param thrown - the value that a catch clause received
 * @param run - whether the request was executed; used only if `thrown` has no result code
 * @returns `thrown` itself if it has a result code, else an internal error with `thrown` as its cause
 */
export const toSardinegradeError = (
  thrown: unknown,
  run: RunState = RunState.Unknown,
): SardinegradeError => {
  if (thrown instanceof SardinegradeError) return thrown;
  return new SardinegradeError(ResultCode.Internal, 'Internal error.', { cause: thrown, run });
};

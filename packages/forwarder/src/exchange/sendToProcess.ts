import { SendFailure, shouldChargeBudget } from '@sardinegrade/routing';

import { SendPurpose, sendToWorker } from './sendToWorker.js';

import type { ForwarderState } from '../ForwarderState.js';
import type { Send, SendEnd, SendObserver, WorkerRequest } from './sendToWorker.js';
import type { ActiveSend } from './types.js';

/** Time in which an engine reports which process it is, in milliseconds; it answers without a free slot. */
const REPORT_TIMEOUT_MS = 400;

/** Start of the process in registrations that do not tell it. */
const UNKNOWN_START_MS = 0;

const shouldVerify = (
  state: ForwarderState,
  { record: { worker }, claimed }: ActiveSend,
  { purpose }: WorkerRequest,
): boolean =>
  purpose === SendPurpose.Resume &&
  !claimed.connection.isVerified &&
  worker.startedAtMs !== UNKNOWN_START_MS &&
  state.configuration?.services.get(worker.service)?.engine !== undefined;

/** Whether the engine has answered, but not with a report. */
const isAnswered = ({ failure, head }: Extract<SendEnd, { isComplete: false }>): boolean =>
  failure === SendFailure.Rejected && head !== undefined;

/** Reads when the process started; undefined if the answer does not tell it. */
const readStartedAtMs = ({ options }: ForwarderState, end: SendEnd): number | undefined =>
  end.isComplete
    ? options.protocol.processReport.decodeStartedAtMs(Buffer.concat(end.pieces).toString())
    : undefined;

/** A send that waits for the engine to report which process it is. */
class VerifiedSend implements Send {
  #current: Send | undefined;
  /** Whether the report has arrived and the request has not been sent yet. */
  #isBetween = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly state: ForwarderState,
    private readonly active: ActiveSend,
    private readonly request: WorkerRequest,
    private readonly observer: SendObserver,
  ) {}

  start(): void {
    const report: WorkerRequest = {
      purpose: SendPurpose.Report,
      method: 'GET',
      path: this.state.options.protocol.processReport.path,
      headers: [],
      body: undefined,
      requestId: undefined,
    };
    this.#timer = setTimeout(
      () => this.cancel(SendFailure.Silent, 'the worker did not report in time'),
      REPORT_TIMEOUT_MS,
    );
    this.#current = this.#send(report, {
      onSlowHead: () => undefined,
      findExclusion: this.observer.findExclusion,
      shouldRelay: () => false,
      onChunk: () => true,
      onEnd: (end) => this.#onReport(end),
    });
  }

  readonly cancel = (failure: SendFailure, reason: string): void => {
    if (this.#isBetween) this.#fail(SendFailure.Rejected, reason);
    else this.#current?.cancel(failure, reason);
  };

  #send(request: WorkerRequest, observer: SendObserver): Send {
    const { ingress, options } = this.state;
    return sendToWorker(
      request,
      this.active.claimed,
      options.protocol,
      ingress.heldAnswers,
      observer,
    );
  }

  /** Ends the send without the request having been sent. */
  #fail(failure: SendFailure, reason: string): void {
    this.#isBetween = false;
    this.observer.onEnd({ isComplete: false, failure, reason, head: undefined });
  }

  #onReport(end: SendEnd): void {
    clearTimeout(this.#timer);
    if (!end.isComplete && !isAnswered(end)) {
      const isUnsent = !shouldChargeBudget(end.failure);
      this.#fail(isUnsent ? end.failure : SendFailure.Rejected, `no report: ${end.reason}`);
      return;
    }
    const startedAtMs = readStartedAtMs(this.state, end);
    if (startedAtMs !== undefined && startedAtMs !== this.active.record.worker.startedAtMs) {
      this.#fail(SendFailure.Rejected, 'the worker has started again since it was registered');
      return;
    }
    this.#logReport(startedAtMs);
    this.#isBetween = true;
    // Only then is the connection free, or closed if the worker has ended it.
    setImmediate(() => this.#sendRequest(startedAtMs !== undefined));
  }

  #logReport(startedAtMs: number | undefined): void {
    this.state.options.logger.info('engine reported before it goes on with a stream', {
      requestId: this.request.requestId,
      upstream: this.active.record.worker.id,
      inputs: { verified: startedAtMs !== undefined },
    });
  }

  #sendRequest(isVerified: boolean): void {
    if (!this.#isBetween) return;
    const { connection } = this.active.claimed;
    if (!connection.isOpen) {
      this.#fail(SendFailure.Rejected, 'the worker closed the connection after its report');
      return;
    }
    this.#isBetween = false;
    connection.isVerified = isVerified;
    this.#current = this.#send(this.request, this.observer);
  }
}

/**
 * Sends a request to a worker. Before an engine goes on with a stream, it has to report on the same connection that it is
 * the registered process: one that has started again under its id may be another build, and its new registration arrives
 * later. An engine whose report does not tell it is trusted.
 *
 * @param state - state of the forwarder
 * @param active - the worker and the claimed connection
 * @param request - the request to send
 * @param observer - receives the answer
 * @returns the send in progress
 */
export const sendToProcess = (
  state: ForwarderState,
  active: ActiveSend,
  request: WorkerRequest,
  observer: SendObserver,
): Send => {
  if (!shouldVerify(state, active, request)) {
    const { ingress, options } = state;
    return sendToWorker(request, active.claimed, options.protocol, ingress.heldAnswers, observer);
  }
  const send = new VerifiedSend(state, active, request, observer);
  send.start();
  return send;
};

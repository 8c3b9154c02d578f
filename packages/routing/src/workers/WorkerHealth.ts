/** Consecutive failures after which a worker is ejected, that is, temporarily avoided. */
const FAILURES_TO_EJECT = 2;

/** Bounds of the ejection time, in milliseconds; each further failure doubles it. */
const MIN_EJECTION_MS = 400;
const MAX_EJECTION_MS = 3_200;

/** Weight of the newest outcome in the moving average of the failure rate. */
const OUTCOME_WEIGHT = 0.15;

/** Tracks failures of one worker that this VM has observed, and ejects it for a time after repeated ones. */
export class WorkerHealth {
  #consecutiveFailures = 0;
  #ejectionMs = 0;
  #ejectedUntilMs = Number.NEGATIVE_INFINITY;
  #failureShare = 0;
  #failedAtMs = Number.NEGATIVE_INFINITY;

  /** Moving average of the failure rate, between 0 and 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Records an answer that reports success. */
  recordSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#ejectionMs = 0;
    this.#ejectedUntilMs = Number.NEGATIVE_INFINITY;
    this.#failureShare *= 1 - OUTCOME_WEIGHT;
  }

  /** Records an answer that reports a failure of the worker. It can be reached, so this does not eject it. */
  recordErrorAnswer(): void {
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
  }

  /**
   * Records that the worker could not be reached, closed the connection early or sent nothing within the timeout.
   *
   * @param nowMs - current time, in milliseconds
   * @param isUnreachable - whether no connection could be established, which ejects the worker at the first failure
   */
  recordFailure(nowMs: number, isUnreachable: boolean): void {
    this.#consecutiveFailures += 1;
    this.#failedAtMs = nowMs;
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
    if (!isUnreachable && this.#consecutiveFailures < FAILURES_TO_EJECT) return;
    this.#ejectionMs = Math.min(MAX_EJECTION_MS, Math.max(MIN_EJECTION_MS, this.#ejectionMs * 2));
    this.#ejectedUntilMs = nowMs + this.#ejectionMs;
  }

  /** @returns whether the worker has failed at this time or later, other than by an error answer */
  hasFailedSince(sinceMs: number): boolean {
    return this.#failedAtMs >= sinceMs;
  }

  /** @returns whether the worker is ejected at this time */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }
}

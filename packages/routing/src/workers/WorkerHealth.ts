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
  /** Whether the last failure was that no connection could be established. */
  #wasUnreachable = false;
  #failureShare = 0;
  #failedAtMs = Number.NEGATIVE_INFINITY;
  /** When the worker fell silent, as far as known; undefined if it has sent something since. */
  #silentAtMs: number | undefined;

  /** Moving average of the failure rate, between 0 and 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Records an answer that reports success. */
  recordSuccess(): void {
    this.#silentAtMs = undefined;
    this.#resetFailures();
    this.#failureShare *= 1 - OUTCOME_WEIGHT;
  }

  /**
   * Records that a send got nothing within its timeout. A worker that is silent for a second may be sound, so all sends
   * that wait at the same time count as one failure.
   *
   * @param nowMs - current time, in milliseconds
   */
  recordSilence(nowMs: number): void {
    if (this.#silentAtMs !== undefined && this.isEjected(nowMs)) return;
    const isNew = nowMs - this.#failedAtMs > MAX_EJECTION_MS;
    if (isNew || this.#silentAtMs === undefined) this.#silentAtMs = nowMs;
    this.#wasUnreachable = false;
    this.#failedAtMs = nowMs;
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
    this.#eject(nowMs);
  }

  /**
   * Records that the worker has sent something. If the send began before the worker fell silent, the same process goes on.
   *
   * @param startedAtMs - when the send began, in milliseconds
   */
  recordActivity(startedAtMs: number): void {
    if (this.#silentAtMs === undefined || startedAtMs > this.#silentAtMs) return;
    this.#silentAtMs = undefined;
    this.#failedAtMs = Number.NEGATIVE_INFINITY;
    this.#resetFailures();
  }

  /** Records an answer that reports a failure of the worker. It can be reached, so this does not eject it. */
  recordErrorAnswer(): void {
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
  }

  /** Records that failures were those of this VM's links, not of the worker. */
  recordLostLinks(): void {
    this.#silentAtMs = undefined;
    this.#resetFailures();
  }

  /**
   * Records that the worker could not be reached or closed the connection early.
   *
   * @param nowMs - current time, in milliseconds
   * @param isUnreachable - whether no connection could be established, which ejects the worker at the first failure
   */
  recordFailure(nowMs: number, isUnreachable: boolean): void {
    this.#consecutiveFailures += 1;
    this.#failedAtMs = nowMs;
    this.#wasUnreachable = isUnreachable;
    // Data of an earlier send does not undo this failure.
    this.#silentAtMs = undefined;
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
    if (!isUnreachable && this.#consecutiveFailures < FAILURES_TO_EJECT) return;
    this.#eject(nowMs);
  }

  /** @returns whether the worker has failed at this time or later, other than by an error answer */
  hasFailedSince(sinceMs: number): boolean {
    return this.#failedAtMs >= sinceMs;
  }

  /** @returns whether the worker is ejected at this time */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }

  /** @returns whether the worker is ejected for what it did on an open connection, which a further connection does not refute */
  isFailing(nowMs: number): boolean {
    return this.isEjected(nowMs) && !this.#wasUnreachable;
  }

  #eject(nowMs: number): void {
    this.#ejectionMs = Math.min(MAX_EJECTION_MS, Math.max(MIN_EJECTION_MS, this.#ejectionMs * 2));
    this.#ejectedUntilMs = nowMs + this.#ejectionMs;
  }

  #resetFailures(): void {
    this.#consecutiveFailures = 0;
    this.#ejectionMs = 0;
    this.#ejectedUntilMs = Number.NEGATIVE_INFINITY;
  }
}

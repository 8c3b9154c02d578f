/** Failures in a row after which a worker is set aside. */
const FAILURES_TO_EJECT = 2;

/** First pause of a worker that is set aside, and the longest; each further failure doubles it. */
const MIN_EJECTION_MS = 400;
const MAX_EJECTION_MS = 3_200;

/** Weight of the newest outcome in the share of failures. */
const OUTCOME_WEIGHT = 0.15;

/** What this VM has seen of one worker. */
export class WorkerHealth {
  #consecutiveFailures = 0;
  #ejectionMs = 0;
  #ejectedUntilMs = Number.NEGATIVE_INFINITY;
  #failureShare = 0;

  /** Share of failures among the latest outcomes, between 0 and 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Records an answer that the worker meant to give. */
  recordSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#ejectionMs = 0;
    this.#ejectedUntilMs = Number.NEGATIVE_INFINITY;
    this.#failureShare *= 1 - OUTCOME_WEIGHT;
  }

  /** Records an answer that says that the worker failed; it lives, so it is not set aside for it. */
  recordErrorAnswer(): void {
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
  }

  /**
   * Records that the worker could not be reached, broke off or stayed silent.
   *
   * @param nowMs - the present
   * @param isUnreachable - no connection could be made, which alone sets the worker aside
   */
  recordFailure(nowMs: number, isUnreachable: boolean): void {
    this.#consecutiveFailures += 1;
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
    if (!isUnreachable && this.#consecutiveFailures < FAILURES_TO_EJECT) return;
    this.#ejectionMs = Math.min(MAX_EJECTION_MS, Math.max(MIN_EJECTION_MS, this.#ejectionMs * 2));
    this.#ejectedUntilMs = nowMs + this.#ejectionMs;
  }

  /** @returns whether the worker gets no work for now */
  isEjected(nowMs: number): boolean {
    return nowMs < this.#ejectedUntilMs;
  }
}

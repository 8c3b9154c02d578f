/** Failures in a row after which a worker is set aside. */
const FAILURES_TO_SET_ASIDE = 2;

/** First pause of a worker that is set aside, and the longest; each further failure doubles it. */
const FIRST_PAUSE_MS = 400;
const LONGEST_PAUSE_MS = 3_200;

/** Weight of the newest outcome in the share of failures. */
const OUTCOME_WEIGHT = 0.15;

/** What this VM has seen of one worker. */
export class WorkerHealth {
  #failuresInRow = 0;
  #pauseMs = 0;
  #asideUntilMs = Number.NEGATIVE_INFINITY;
  #failureShare = 0;

  /** Share of failures among the latest outcomes, between 0 and 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Records an answer that the worker meant to give. */
  recordSuccess(): void {
    this.#failuresInRow = 0;
    this.#pauseMs = 0;
    this.#asideUntilMs = Number.NEGATIVE_INFINITY;
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
    this.#failuresInRow += 1;
    this.#failureShare += (1 - this.#failureShare) * OUTCOME_WEIGHT;
    if (!isUnreachable && this.#failuresInRow < FAILURES_TO_SET_ASIDE) return;
    this.#pauseMs = Math.min(LONGEST_PAUSE_MS, Math.max(FIRST_PAUSE_MS, this.#pauseMs * 2));
    this.#asideUntilMs = nowMs + this.#pauseMs;
  }

  /** @returns whether the worker gets no work for now */
  isAside(nowMs: number): boolean {
    return nowMs < this.#asideUntilMs;
  }
}

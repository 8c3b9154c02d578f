/** Longest time between answers of a store that is there, to any of the VMs that report, in milliseconds. */
const MAX_ANSWER_GAP_MS = 1_500;

/** Time for which answers are remembered, in milliseconds: longer outages are not shortened. */
const ANSWER_RETENTION_MS = 30_000;

/** Maximum number of remembered answers; the oldest are dropped. */
const MAX_ANSWERS = 512;

/** Difference below which two reports show the same answer, in milliseconds. */
const SAME_ANSWER_MS = 20;

/**
 * Estimates when the store came back after an outage of this VM's own calls. The store may have rejected this VM only; then
 * it has answered the others all the while.
 */
export class OutageEstimate {
  /** Times at which the store has answered other VMs. */
  #answersAtMs: number[] = [];

  /**
   * Records when the store has last answered a peer.
   *
   * @param ageMs - time since that answer, in milliseconds; undefined if there was none
   * @param nowMs - current time, in milliseconds
   */
  addPeerReport(ageMs: number | undefined, nowMs: number): void {
    if (ageMs === undefined || ageMs > ANSWER_RETENTION_MS) return;
    const answeredAtMs = nowMs - ageMs;
    const isKnown = this.#answersAtMs.some(
      (knownMs) => Math.abs(knownMs - answeredAtMs) < SAME_ANSWER_MS,
    );
    if (isKnown) return;
    const oldestMs = nowMs - ANSWER_RETENTION_MS;
    this.#answersAtMs = [...this.#answersAtMs, answeredAtMs]
      .filter((atMs) => atMs >= oldestMs)
      .slice(-MAX_ANSWERS);
  }

  /**
   * Estimates the end of an outage.
   *
   * @param outageMs - time since the last answer to this VM, in milliseconds
   * @param nowMs - current time, in milliseconds
   * @returns the time since which the store has answered other VMs without a gap, the current time if it has not, or
   *   undefined if it has answered them all the while
   */
  estimateReturnMs(outageMs: number, nowMs: number): number | undefined {
    const startMs = nowMs - outageMs;
    let returnMs = nowMs;
    for (const atMs of this.#answersAtMs.toSorted((left, right) => right - left)) {
      if (atMs <= startMs || returnMs - atMs > MAX_ANSWER_GAP_MS) break;
      returnMs = atMs;
    }
    const wasAway = returnMs === nowMs || returnMs - startMs > MAX_ANSWER_GAP_MS;
    return wasAway ? returnMs : undefined;
  }
}

/**
 * Shortest time without an answer to any of the VMs that report in which registrations may have lapsed, in milliseconds.
 */
const MIN_OUTAGE_MS = 1_500;

/** Time for which calls are remembered, in milliseconds: longer outages are not shortened. */
const CALL_RETENTION_MS = 30_000;

/** Maximum number of remembered calls of each outcome; the oldest are dropped. */
const MAX_CALLS = 512;

/** Difference below which two reports show the same call, in milliseconds. */
const SAME_CALL_MS = 20;

/** Maximum number of calls of each outcome that a log line names. */
const MAX_LOGGED_CALLS = 8;

/** When the store has last answered another VM, and when a call of it has last failed. */
export interface PeerCalls {
  /** Time since the answer, in milliseconds; undefined if there was none. */
  readonly answerAgeMs: number | undefined;
  /** Time since the failed call, in milliseconds; undefined if there was none. */
  readonly failureAgeMs: number | undefined;
}

/** Times of other VMs' calls with one outcome. */
class CallTimes {
  #timesMs: number[] = [];

  add(ageMs: number | undefined, nowMs: number): void {
    if (ageMs === undefined || ageMs > CALL_RETENTION_MS) return;
    const calledAtMs = nowMs - ageMs;
    if (this.#timesMs.some((knownMs) => Math.abs(knownMs - calledAtMs) < SAME_CALL_MS)) return;
    const oldestMs = nowMs - CALL_RETENTION_MS;
    this.#timesMs = [...this.#timesMs, calledAtMs]
      .filter((atMs) => atMs >= oldestMs)
      .slice(-MAX_CALLS);
  }

  /** @returns the times after a time, the newest first */
  listSince(startMs: number): readonly number[] {
    return this.#timesMs.filter((atMs) => atMs > startMs).toSorted((left, right) => right - left);
  }
}

const formatAges = (timesMs: readonly number[], nowMs: number): string =>
  timesMs
    .slice(0, MAX_LOGGED_CALLS)
    .map((atMs) => Math.round(nowMs - atMs))
    .join(' ');

/**
 * Estimates when the store came back after an outage of this VM's own calls. The store may have rejected this VM only; then
 * it has answered the others all the while. Others may make no call for seconds, so that a gap between their answers shows
 * an outage only if a call of theirs has failed in it.
 */
export class OutageEstimate {
  readonly #answers = new CallTimes();
  readonly #failures = new CallTimes();

  /**
   * Records the last calls of a peer to the store.
   *
   * @param calls - when the store has last answered it, and when a call has last failed
   * @param nowMs - current time, in milliseconds
   */
  addPeerReport({ answerAgeMs, failureAgeMs }: PeerCalls, nowMs: number): void {
    this.#answers.add(answerAgeMs, nowMs);
    this.#failures.add(failureAgeMs, nowMs);
  }

  /**
   * Estimates the end of an outage.
   *
   * @param outageMs - time since the last answer to this VM, in milliseconds
   * @param nowMs - current time, in milliseconds
   * @returns the time of the first answer to other VMs after the last outage that they had as well, the current time if the
   *   store has not answered them, or undefined if they had no outage
   */
  estimateReturnMs(outageMs: number, nowMs: number): number | undefined {
    const startMs = nowMs - outageMs;
    const answers = this.#answers.listSince(startMs);
    if (answers.length === 0) return nowMs;
    const failures = this.#failures.listSince(startMs);
    let returnMs = nowMs;
    for (const atMs of [...answers, startMs]) {
      const isOutage =
        returnMs - atMs > MIN_OUTAGE_MS &&
        failures.some((failedMs) => failedMs >= atMs && failedMs <= returnMs);
      if (isOutage) return returnMs;
      returnMs = atMs;
    }
    return undefined;
  }

  /** @returns ages of the calls of other VMs during an outage, in milliseconds, for the log */
  describe(outageMs: number, nowMs: number): Readonly<Record<string, string>> {
    const startMs = nowMs - outageMs;
    return {
      peer_answer_ages_ms: formatAges(this.#answers.listSince(startMs), nowMs),
      peer_failure_ages_ms: formatAges(this.#failures.listSince(startMs), nowMs),
    };
  }
}

const INITIAL_WAIT_MS = 5_000;
const MAX_WAIT_MS = 300_000;

interface Failure {
  readonly count: number;
  readonly retryAtMs: number;
}

/** Delays the repetition of orders that failed; the delay doubles with each consecutive failure, up to MAX_WAIT_MS. */
export class FailureBackoff {
  private readonly failures = new Map<string, Failure>();

  /**
   * @param key - identifies the order
   * @param nowMs - current time, in milliseconds
   * @returns whether the order may be sent now
   */
  canTry(key: string, nowMs: number): boolean {
    return nowMs >= (this.failures.get(key)?.retryAtMs ?? -Infinity);
  }

  /**
   * Records the result of an order; a success resets the delay.
   *
   * @param key - identifies the order
   * @param isDone - whether the order succeeded
   * @param nowMs - current time, in milliseconds
   */
  recordResult(key: string, isDone: boolean, nowMs: number): void {
    if (isDone) {
      this.failures.delete(key);
      return;
    }
    const count = (this.failures.get(key)?.count ?? 0) + 1;
    const waitMs = Math.min(MAX_WAIT_MS, INITIAL_WAIT_MS * 2 ** (count - 1));
    this.failures.set(key, { count, retryAtMs: nowMs + waitMs });
  }
}

const FIRST_WAIT_MS = 5_000;
const WAIT_LIMIT_MS = 300_000;

interface Failure {
  readonly count: number;
  readonly retryAtMs: number;
}

/** Spaces out orders that fail again and again. */
export class FailureBackoff {
  private readonly failures = new Map<string, Failure>();

  /**
   * @param key - what failed
   * @param nowMs - the present
   * @returns whether it may be tried
   */
  canTry(key: string, nowMs: number): boolean {
    return nowMs >= (this.failures.get(key)?.retryAtMs ?? -Infinity);
  }

  /**
   * Notes how a try ended.
   *
   * @param key - what was tried
   * @param isDone - whether it succeeded
   * @param nowMs - the present
   */
  note(key: string, isDone: boolean, nowMs: number): void {
    if (isDone) {
      this.failures.delete(key);
      return;
    }
    const count = (this.failures.get(key)?.count ?? 0) + 1;
    const waitMs = Math.min(WAIT_LIMIT_MS, FIRST_WAIT_MS * 2 ** (count - 1));
    this.failures.set(key, { count, retryAtMs: nowMs + waitMs });
  }
}

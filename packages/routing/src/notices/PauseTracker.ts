/**
 * Maximum time for which a worker gets no requests after one answer, in milliseconds. Only time ends a pause, so a wrong value
 * would keep a sound worker unused; a worker in need names a new time when it is asked again.
 */
export const MAX_PAUSE_MS = 300_000;

/** Tracks the worker instances that want no requests of this VM for a time. */
export class PauseTracker {
  /** When the pause of an instance ends, in milliseconds, by the hash of the instance's id. */
  readonly #endsAtMs = new Map<number, number>();

  /** Whether any instance may be paused. */
  get isEmpty(): boolean {
    return this.#endsAtMs.size === 0;
  }

  /**
   * Records that a worker wants no requests for a time. A shorter time than before does not end a pause earlier: answers on
   * different connections overtake each other.
   *
   * @param instance - hash of the id of the worker instance
   * @param pauseMs - the time from now on, in milliseconds
   * @param nowMs - current time, in milliseconds
   * @returns whether a pause begins
   */
  record(instance: number, pauseMs: number, nowMs: number): boolean {
    if (pauseMs <= 0) return false;
    const remainingMs = this.getRemainingMs(instance, nowMs);
    const endsAtMs = nowMs + Math.max(remainingMs, Math.min(pauseMs, MAX_PAUSE_MS));
    this.#removeEnded(nowMs);
    this.#endsAtMs.set(instance, endsAtMs);
    return remainingMs === 0;
  }

  /**
   * Gets how long a worker wants no requests.
   *
   * @param instance - hash of the id of the worker instance
   * @param nowMs - current time, in milliseconds
   * @returns the remaining time, in milliseconds; 0 if it may get requests
   */
  getRemainingMs(instance: number, nowMs: number): number {
    return Math.max(0, (this.#endsAtMs.get(instance) ?? nowMs) - nowMs);
  }

  #removeEnded(nowMs: number): void {
    for (const [instance, endsAtMs] of this.#endsAtMs) {
      if (endsAtMs <= nowMs) this.#endsAtMs.delete(instance);
    }
  }
}

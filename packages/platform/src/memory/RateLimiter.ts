/** Refuses calls above a rate, with one second's worth of burst. */
export class RateLimiter {
  private available = 0;
  private filledAtMs: number | undefined;

  /**
   * Takes one call's worth from the bucket.
   *
   * @param perSecond - the rate
   * @param nowMs - the present
   * @returns whether the call may go on
   */
  take(perSecond: number, nowMs: number): boolean {
    if (perSecond === Infinity) return true;
    const elapsedMs = this.filledAtMs === undefined ? 1_000 : nowMs - this.filledAtMs;
    this.filledAtMs = nowMs;
    this.available = Math.min(perSecond, this.available + (elapsedMs * perSecond) / 1_000);
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }
}

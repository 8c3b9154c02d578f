/** Token bucket that limits the rate of calls; a burst is limited to the calls of one second. */
export class RateLimiter {
  private tokens = 0;
  private refilledAtMs: number | undefined;

  /**
   * Takes the token for one call, if there is one.
   *
   * @param perSecond - permitted calls per second; Infinity for no limit
   * @param nowMs - current time, in milliseconds
   * @returns whether the call is permitted
   */
  take(perSecond: number, nowMs: number): boolean {
    if (perSecond === Infinity) return true;
    const elapsedMs = this.refilledAtMs === undefined ? 1_000 : nowMs - this.refilledAtMs;
    this.refilledAtMs = nowMs;
    this.tokens = Math.min(perSecond, this.tokens + (elapsedMs * perSecond) / 1_000);
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/** Maximum number of unused retries that a service can accumulate. */
const MAX_UNUSED_RETRIES = 20;

/** Retries that a service earns per second in addition, for services with little traffic; none if its share is 0. */
const RETRIES_PER_SECOND = 0.2;

/**
 * Token bucket for the retries of one service. Retries are limited to a share of the first attempts, so that failures
 * do not multiply the load.
 */
export class RetryBudget {
  private unusedRetries = MAX_UNUSED_RETRIES;
  private updatedAtMs: number;

  /**
   * @param share - number of retries earned by each first attempt, between 0 and 1
   * @param nowMs - current time, in milliseconds
   */
  constructor(
    private share: number,
    nowMs: number,
  ) {
    this.updatedAtMs = nowMs;
  }

  /** Sets the share of retries that each first attempt earns. */
  setShare(share: number): void {
    this.share = share;
  }

  /** Records a first attempt, which earns a share of a retry. */
  recordFirstAttempt(): void {
    this.unusedRetries = Math.min(MAX_UNUSED_RETRIES, this.unusedRetries + this.share);
  }

  /** @returns whether at least one retry is available */
  hasRetry(nowMs: number): boolean {
    this.addEarnedRetries(nowMs);
    return this.unusedRetries >= 1;
  }

  /**
   * Claims one retry.
   *
   * @returns whether a retry was available
   */
  claim(nowMs: number): boolean {
    if (!this.hasRetry(nowMs)) return false;
    this.unusedRetries -= 1;
    return true;
  }

  private addEarnedRetries(nowMs: number): void {
    if (nowMs <= this.updatedAtMs || this.share <= 0) return;
    const earnedRetries = ((nowMs - this.updatedAtMs) / 1_000) * RETRIES_PER_SECOND;
    this.unusedRetries = Math.min(MAX_UNUSED_RETRIES, this.unusedRetries + earnedRetries);
    this.updatedAtMs = nowMs;
  }
}

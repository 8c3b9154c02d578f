/** Retries that a service may save up. */
const TOKEN_LIMIT = 20;

/** Retries that a service with little traffic earns by time alone. */
const TOKENS_PER_SECOND = 0.2;

/** How many retries may be saved up, and how many time alone earns. */
export interface RetryBudgetLimits {
  readonly tokenLimit: number;
  readonly tokensPerSecond: number;
}

const DEFAULT_LIMITS: RetryBudgetLimits = {
  tokenLimit: TOKEN_LIMIT,
  tokensPerSecond: TOKENS_PER_SECOND,
};

/** The retries of one service: a share of its first attempts, so that failures do not multiply its load. */
export class RetryBudget {
  private tokens: number;
  private updatedAtMs: number;

  /**
   * @param share - retries earned by each first attempt, between 0 and 1
   * @param nowMs - the present
   * @param limits - what may be saved up, and what time earns
   */
  constructor(
    private share: number,
    nowMs: number,
    private limits: RetryBudgetLimits = DEFAULT_LIMITS,
  ) {
    this.tokens = limits.tokenLimit;
    this.updatedAtMs = nowMs;
  }

  /** Takes a new share into account. */
  setShare(share: number): void {
    this.share = share;
  }

  /** Takes new limits into account; what is saved beyond them is lost. */
  setLimits(limits: RetryBudgetLimits): void {
    this.limits = limits;
    this.tokens = Math.min(this.tokens, limits.tokenLimit);
  }

  /** Records a first attempt. */
  recordFirstAttempt(): void {
    this.tokens = Math.min(this.limits.tokenLimit, this.tokens + this.share);
  }

  /** @returns whether a retry is left */
  hasToken(nowMs: number): boolean {
    this.advance(nowMs);
    return this.tokens >= 1;
  }

  /** @returns whether a retry was left, which is then taken */
  take(nowMs: number): boolean {
    if (!this.hasToken(nowMs)) return false;
    this.tokens -= 1;
    return true;
  }

  private advance(nowMs: number): void {
    if (nowMs <= this.updatedAtMs || this.share <= 0) return;
    const earned = ((nowMs - this.updatedAtMs) / 1_000) * this.limits.tokensPerSecond;
    this.tokens = Math.min(this.limits.tokenLimit, this.tokens + earned);
    this.updatedAtMs = nowMs;
  }
}

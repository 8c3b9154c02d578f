import type { Clock } from '@sardinegrade/common';

/** Limits of the writes that a daemon may send to the platform. */
export interface WriteBudgetOptions {
  readonly clock: Clock;
  readonly writesPerSecond: number;
  /** Maximum number of unused writes that accumulate. */
  readonly burst: number;
}

/** A daemon's share of the platform's write rate. */
export interface WriteBudget {
  /**
   * Reserves writes for an order.
   *
   * @param writes - number of writes that the order needs until it is settled
   * @returns false if not enough writes are available; nothing is reserved then
   */
  readonly acquire: (writes: number) => boolean;
  /** Returns reserved writes that an order did not need. */
  readonly release: (writes: number) => void;
  /** Counts writes that are sent even if the budget is spent. */
  readonly use: (writes: number) => void;
  /** The available share of the burst, between 0 and 1. */
  readonly getFreeShare: () => number;
  /** Lowers the rate after the platform has refused a write because of its rate limit. */
  readonly handleRateLimit: () => void;
  /** Raises the rate after a successful write, up to the configured rate. */
  readonly handleWriteSuccess: () => void;
  /** Estimates the time until a number of writes is available. */
  readonly estimateWaitMs: (writes: number) => number;
}

const SECOND_MS = 1_000;

/** Factor applied to the rate when the platform refuses a write. */
const RATE_DECREASE_FACTOR = 0.7;

/** Share of the configured rate that each successful write adds to the rate. */
const RATE_INCREASE_SHARE = 0.02;

/** The rate never falls below this share of the configured rate. */
const MIN_RATE_SHARE = 0.05;

/**
 * Creates a write budget: a token bucket that settlements may overdraw. Its rate adapts to the platform's
 * rate limit by additive increase and multiplicative decrease.
 *
 * @param options - configured rate, burst and clock
 * @returns the budget
 */
export const createWriteBudget = (options: WriteBudgetOptions): WriteBudget => {
  const { clock, writesPerSecond, burst } = options;
  let availableWrites = burst;
  let currentRate = writesPerSecond;
  let refilledAtMs = clock.getNowMs();

  const update = () => {
    const nowMs = clock.getNowMs();
    const elapsedMs = Math.max(0, nowMs - refilledAtMs);
    refilledAtMs = nowMs;
    availableWrites = Math.min(burst, availableWrites + (elapsedMs * currentRate) / SECOND_MS);
  };

  const acquire = (writes: number): boolean => {
    update();
    if (availableWrites < writes) return false;
    availableWrites -= writes;
    return true;
  };

  const release = (writes: number) => {
    availableWrites = Math.min(burst, availableWrites + writes);
  };

  const use = (writes: number) => {
    update();
    availableWrites -= writes;
  };

  const getFreeShare = (): number => {
    update();
    return Math.max(0, availableWrites / burst);
  };

  const handleRateLimit = () => {
    update();
    currentRate = Math.max(writesPerSecond * MIN_RATE_SHARE, currentRate * RATE_DECREASE_FACTOR);
    // Accumulated writes would only exceed the platform's limit again.
    availableWrites = Math.min(availableWrites, currentRate);
  };

  const handleWriteSuccess = () => {
    currentRate = Math.min(writesPerSecond, currentRate + writesPerSecond * RATE_INCREASE_SHARE);
  };

  const estimateWaitMs = (writes: number): number => {
    update();
    return Math.max(0, ((writes - availableWrites) * SECOND_MS) / currentRate);
  };

  return {
    acquire,
    release,
    use,
    getFreeShare,
    handleRateLimit,
    handleWriteSuccess,
    estimateWaitMs,
  };
};

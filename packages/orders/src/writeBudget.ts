import type { Clock } from '@sardinegrade/common';

/** How many writes a daemon may send to the platform. */
export interface WriteBudgetOptions {
  readonly clock: Clock;
  readonly writesPerSecond: number;
  /** Writes that may be saved up. */
  readonly burst: number;
}

/** A daemon's part of the platform's write rate. */
export interface WriteBudget {
  /**
   * Reserves writes for an order.
   *
   * @param writes - how many it needs to its end
   * @returns false where they are not there; nothing is reserved then
   */
  readonly acquire: (writes: number) => boolean;
  /** Gives back writes that an order did not need. */
  readonly release: (writes: number) => void;
  /** Counts writes that must go out whatever the budget. */
  readonly use: (writes: number) => void;
  /** The part of the burst that is free, between 0 and 1. */
  readonly getFreeShare: () => number;
  /** Lowers the rate: the platform has refused a write. */
  readonly onLimited: () => void;
  /** Raises the rate again, up to the one that was set. */
  readonly onWritten: () => void;
  /** Until a number of writes is free. */
  readonly estimateWaitMs: (writes: number) => number;
}

const SECOND_MS = 1_000;

/** Part of the rate that is left after the platform has refused a write. */
const DECREASE = 0.7;

/** Part of the full rate that each written record gives back. */
const INCREASE = 0.02;

/** Part of the full rate that is always left. */
const LOWEST_SHARE = 0.05;

/**
 * Creates a write budget, a token bucket that settlements may overdraw and whose rate follows what
 * the platform takes: it falls by a part on each refusal and rises by small steps.
 *
 * @param options - rate, burst and clock
 * @returns the budget
 */
export const createWriteBudget = (options: WriteBudgetOptions): WriteBudget => {
  const { clock, writesPerSecond, burst } = options;
  let free = burst;
  let rate = writesPerSecond;
  let countedAtMs = clock.getNowMs();

  const update = () => {
    const nowMs = clock.getNowMs();
    const passedMs = Math.max(0, nowMs - countedAtMs);
    countedAtMs = nowMs;
    free = Math.min(burst, free + (passedMs * rate) / SECOND_MS);
  };

  const acquire = (writes: number): boolean => {
    update();
    if (free < writes) return false;
    free -= writes;
    return true;
  };

  const release = (writes: number) => {
    free = Math.min(burst, free + writes);
  };

  const use = (writes: number) => {
    update();
    free -= writes;
  };

  const getFreeShare = (): number => {
    update();
    return Math.max(0, free / burst);
  };

  const onLimited = () => {
    update();
    rate = Math.max(writesPerSecond * LOWEST_SHARE, rate * DECREASE);
    // What was saved up would only meet the limit again.
    free = Math.min(free, rate);
  };

  const onWritten = () => {
    rate = Math.min(writesPerSecond, rate + writesPerSecond * INCREASE);
  };

  const estimateWaitMs = (writes: number): number => {
    update();
    return Math.max(0, ((writes - free) * SECOND_MS) / rate);
  };

  return { acquire, release, use, getFreeShare, onLimited, onWritten, estimateWaitMs };
};

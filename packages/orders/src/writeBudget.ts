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
  /** Until a number of writes is free. */
  readonly estimateWaitMs: (writes: number) => number;
}

const SECOND_MS = 1_000;

/**
 * Creates a write budget, a token bucket that settlements may overdraw.
 *
 * @param options - rate, burst and clock
 * @returns the budget
 */
export const createWriteBudget = (options: WriteBudgetOptions): WriteBudget => {
  const { clock, writesPerSecond, burst } = options;
  let free = burst;
  let countedAtMs = clock.getNowMs();

  const update = () => {
    const nowMs = clock.getNowMs();
    const passedMs = Math.max(0, nowMs - countedAtMs);
    countedAtMs = nowMs;
    free = Math.min(burst, free + (passedMs * writesPerSecond) / SECOND_MS);
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

  const estimateWaitMs = (writes: number): number => {
    update();
    return Math.max(0, ((writes - free) * SECOND_MS) / writesPerSecond);
  };

  return { acquire, release, use, getFreeShare, estimateWaitMs };
};

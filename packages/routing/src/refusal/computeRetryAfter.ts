import type { RandomSource } from '@sardinegrade/dispatch';

/** Callers wait for at most this part of the time that they have left (the users' pages). */
const MAX_REMAINING_SHARE = 1 / 3;

/** Shortest and longest wait, in milliseconds: bursts of the sites last seconds. */
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 2_000;

/**
 * Computes when a caller who was refused is to come back: late enough for the queue to shrink, early enough to be
 * served within the time that is left, and spread, so that those refused together do not return together.
 *
 * Load pattern: many callers refused within a moment.
 *
 * @param remainingMs - what is left of the caller's time
 * @param random - spreads the returns
 * @returns milliseconds
 */
export const computeRetryAfterMs = (remainingMs: number, random: RandomSource): number => {
  const longestMs = Math.min(MAX_RETRY_AFTER_MS, remainingMs * MAX_REMAINING_SHARE);
  return Math.max(MIN_RETRY_AFTER_MS, longestMs * (0.5 + random() / 2));
};

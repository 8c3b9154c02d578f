import type { RandomSource } from '@sardinegrade/dispatch';

/**
 * Maximum share of their remaining time that callers wait before a retry (according to the host platform's
 * documentation).
 */
const MAX_REMAINING_SHARE = 1 / 3;

/** Bounds of the wait, in milliseconds: bursts at the sites last for seconds. */
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 2_000;

/**
 * Computes after what time a refused caller should retry: late enough for the queue to shrink, early enough to be
 * served within the remaining time, and with jitter, so that callers that are refused together do not return together.
 *
 * Load pattern: many callers are refused at the same time.
 *
 * @param remainingMs - time left until the caller's deadline, in milliseconds
 * @param random - source of the jitter
 * @returns the wait, in milliseconds
 */
export const computeRetryAfterMs = (remainingMs: number, random: RandomSource): number => {
  const longestMs = Math.min(MAX_RETRY_AFTER_MS, remainingMs * MAX_REMAINING_SHARE);
  return Math.max(MIN_RETRY_AFTER_MS, longestMs * (0.5 + random() / 2));
};

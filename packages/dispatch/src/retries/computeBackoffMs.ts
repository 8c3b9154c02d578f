import type { RandomSource } from '../types.js';

const BASE_DELAY_MS = 20;
const MAX_DELAY_MS = 2_000;
const MAX_GROWTH_FACTOR = 3;

/**
 * Computes the delay before a retry with decorrelated jitter, so that failed calls are not retried simultaneously.
 *
 * @param previousDelayMs - the delay before the last attempt, in milliseconds; 0 before the first retry
 * @param random - returns numbers of at least 0 and below 1
 * @returns a delay between the base delay and three times the previous one, at most MAX_DELAY_MS
 */
export const computeBackoffMs = (previousDelayMs: number, random: RandomSource): number => {
  const upperBoundMs = Math.max(BASE_DELAY_MS, previousDelayMs * MAX_GROWTH_FACTOR);
  const delayMs = BASE_DELAY_MS + random() * (upperBoundMs - BASE_DELAY_MS);
  return Math.min(MAX_DELAY_MS, Math.ceil(delayMs));
};

import type { RandomSource } from '../types.js';

const BASE_DELAY_MS = 20;
const DELAY_LIMIT_MS = 2_000;
const GROWTH = 3;

/**
 * Computes the wait before a retry by decorrelated jitter, so that failed calls do not come back in step.
 *
 * @param previousDelayMs - the wait before the last attempt; 0 before the first retry
 * @param random - the random source
 * @returns a wait between the base delay and three times the previous one, within the limit
 */
export const computeBackoffMs = (previousDelayMs: number, random: RandomSource): number => {
  const upper = Math.max(BASE_DELAY_MS, previousDelayMs * GROWTH);
  const delayMs = BASE_DELAY_MS + random() * (upper - BASE_DELAY_MS);
  return Math.min(DELAY_LIMIT_MS, Math.ceil(delayMs));
};

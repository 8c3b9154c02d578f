import {
  FIRST_TOKEN_TIMEOUT_DEADLINE_SHARE,
  FIRST_TOKEN_TIMEOUT_FACTOR,
  MAX_FIRST_TOKEN_TIMEOUT_MS,
  MAX_TOKEN_TIMEOUT_MS,
  MIN_FIRST_TOKEN_TIMEOUT_MS,
  MIN_TOKEN_TIMEOUT_MS,
  TOKEN_TIMEOUT_FACTOR,
} from './constants.js';

const clampMs = (valueMs: number, minimumMs: number, maximumMs: number): number =>
  Math.min(maximumMs, Math.max(minimumMs, valueMs));

/**
 * Computes the timeout before the first token of an attempt.
 *
 * @param firstTokenTargetMs - the class's target for the first token
 * @param remainingMs - time until the caller's deadline
 * @returns the timeout, in milliseconds; a share of the remaining time, so that an attempt on another engine can follow
 */
export const computeFirstTokenTimeoutMs = (
  firstTokenTargetMs: number,
  remainingMs: number,
): number => {
  const timeoutMs = Math.min(
    firstTokenTargetMs * FIRST_TOKEN_TIMEOUT_FACTOR,
    remainingMs * FIRST_TOKEN_TIMEOUT_DEADLINE_SHARE,
  );
  return clampMs(timeoutMs, MIN_FIRST_TOKEN_TIMEOUT_MS, MAX_FIRST_TOKEN_TIMEOUT_MS);
};

/**
 * Computes the timeout between two tokens of an attempt.
 *
 * @param tokenIntervalTargetMs - the class's target for the interval between tokens
 * @returns the timeout, in milliseconds
 */
export const computeTokenTimeoutMs = (tokenIntervalTargetMs: number): number =>
  clampMs(tokenIntervalTargetMs * TOKEN_TIMEOUT_FACTOR, MIN_TOKEN_TIMEOUT_MS, MAX_TOKEN_TIMEOUT_MS);

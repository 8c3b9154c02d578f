import {
  FIRST_SILENCE_DEADLINE_SHARE,
  FIRST_SILENCE_TARGETS,
  MAX_FIRST_SILENCE_MS,
  MAX_SILENCE_MS,
  MIN_FIRST_SILENCE_MS,
  MIN_SILENCE_MS,
  SILENCE_INTERVALS,
} from './constants.js';

const clampMs = (valueMs: number, minimumMs: number, maximumMs: number): number =>
  Math.min(maximumMs, Math.max(minimumMs, valueMs));

/**
 * Computes how long an attempt may be silent before its first token.
 *
 * @param firstTokenTargetMs - the class's target for the first token
 * @param remainingMs - time left until the caller's deadline
 * @returns the timeout; within the deadline it leaves room for an attempt elsewhere
 */
export const computeFirstTokenTimeoutMs = (
  firstTokenTargetMs: number,
  remainingMs: number,
): number => {
  const wantedMs = Math.min(
    firstTokenTargetMs * FIRST_SILENCE_TARGETS,
    remainingMs * FIRST_SILENCE_DEADLINE_SHARE,
  );
  return clampMs(wantedMs, MIN_FIRST_SILENCE_MS, MAX_FIRST_SILENCE_MS);
};

/**
 * Computes how long an attempt may be silent between two tokens.
 *
 * @param tokenIntervalTargetMs - the class's target for the interval
 * @returns the timeout
 */
export const computeTokenTimeoutMs = (tokenIntervalTargetMs: number): number =>
  clampMs(tokenIntervalTargetMs * SILENCE_INTERVALS, MIN_SILENCE_MS, MAX_SILENCE_MS);

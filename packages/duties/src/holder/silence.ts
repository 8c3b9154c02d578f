import { MAX_SILENT_CALLS, MIN_SILENCE_MS } from './constants.js';

/** Calls to the API in series that got no response. */
export interface SilenceState {
  readonly count: number;
  /** When the first of them ended, in milliseconds; undefined if there is none. */
  readonly sinceMs: number | undefined;
}

/** State before the first call, and after each response. */
export const NO_SILENCE: SilenceState = { count: 0, sinceMs: undefined };

/**
 * Records how a call ended.
 *
 * @param state - state before the call
 * @param hasResponse - whether the API responded, with whatever status
 * @param nowMs - current time, in milliseconds
 * @returns the state after the call
 */
export const recordResponse = (
  state: SilenceState,
  hasResponse: boolean,
  nowMs: number,
): SilenceState =>
  hasResponse ? NO_SILENCE : { count: state.count + 1, sinceMs: state.sinceMs ?? nowMs };

/**
 * Decides whether the lease is to be released because the API may be unreachable for this VM only.
 *
 * @param state - calls without a response
 * @param nowMs - current time, in milliseconds
 * @returns whether another VM should make the calls
 */
export const shouldRelease = ({ count, sinceMs }: SilenceState, nowMs: number): boolean =>
  sinceMs !== undefined && count >= MAX_SILENT_CALLS && nowMs - sinceMs >= MIN_SILENCE_MS;

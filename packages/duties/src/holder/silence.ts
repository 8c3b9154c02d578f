import { MAX_SILENT_CALLS, MIN_SILENCE_MS } from './constants.js';

/** Calls to the API in series that got no response. */
export interface SilenceState {
  readonly count: number;
  /** Monotonic time at which the first of them ended, in milliseconds; undefined if there is none. */
  readonly sinceMs: number | undefined;
  /** Time from the end of the first of them to the end of the last, in milliseconds. */
  readonly lengthMs: number;
}

/** State before the first call, and after each response. */
export const NO_SILENCE: SilenceState = { count: 0, sinceMs: undefined, lengthMs: 0 };

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
): SilenceState => {
  if (hasResponse) return NO_SILENCE;
  const sinceMs = state.sinceMs ?? nowMs;
  return { count: state.count + 1, sinceMs, lengthMs: nowMs - sinceMs };
};

/**
 * Decides whether the lease is to be released because the API may be unreachable for this VM only. Time in which no call is
 * made does not count: it says nothing about the API.
 *
 * @param state - calls without a response
 * @returns whether another VM should make the calls
 */
export const shouldRelease = ({ count, lengthMs }: SilenceState): boolean =>
  count >= MAX_SILENT_CALLS && lengthMs >= MIN_SILENCE_MS;

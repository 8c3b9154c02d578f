/** Limit of an instance that has just started. */
export const INITIAL_LIMIT = 4;

/** Limit from which on it no longer grows: the number of slots of the engines. */
export const MAX_LIMIT = 64;

/** Smallest limit: a worker that answers nothing else still gets trials. */
const MIN_LIMIT = 2;

/** Factor of a decrease. Requests that were sent together fail together, so one cut in `CUT_INTERVAL_MS` counts. */
const CUT_FACTOR = 0.5;

/** Minimum time between two decreases, in milliseconds. */
const CUT_INTERVAL_MS = 300;

/** Concurrency limit of a worker over all VMs. */
export interface LimitState {
  readonly limit: number;
  /** When it was last decreased, in milliseconds. */
  readonly cutAtMs: number;
}

/**
 * Updates the concurrency limit of a worker: additive increase with each good response, multiplicative decrease.
 *
 * Load pattern: a server that has just started or recovered is either flooded or left idle for too long.
 *
 * @param state - the limit so far
 * @param isBad - whether the response was late, a rejection or a failure
 * @param nowMs - when the response was known, in milliseconds
 * @returns the limit from now on
 */
export const reduceLimit = (state: LimitState, isBad: boolean, nowMs: number): LimitState => {
  if (!isBad) return { ...state, limit: Math.min(MAX_LIMIT, state.limit + 1) };
  if (nowMs - state.cutAtMs < CUT_INTERVAL_MS) return state;
  return { limit: Math.max(MIN_LIMIT, state.limit * CUT_FACTOR), cutAtMs: nowMs };
};

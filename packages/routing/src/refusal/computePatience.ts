import type { Route } from '../configuration/index.js';

/** Callers leave a stream, also before its first event, after the longest of these (the users' pages). */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;

/** Part of its caller's patience that a request may wait for an engine: the rest is for reading the prompt. */
const MAX_WAIT_SHARE = 0.6;

/**
 * Computes how long a caller waits for the first event of a stream.
 *
 * @param route - the route
 * @returns milliseconds
 */
export const computePatienceMs = (route: Route): number =>
  Math.max(MIN_PATIENCE_MS, route.targetMs * PATIENCE_TARGETS, route.eventGapMs * PATIENCE_GAPS);

/** What a request that waits has had and has left, in milliseconds. */
export interface WaitingTimes {
  readonly waitedMs: number;
  /** Left of its caller's time limit. */
  readonly remainingMs: number;
  /** Time that an engine takes to read the prompt at least. */
  readonly prefillMs: number;
  /** Time that streams of the route go on after their first event, at present. */
  readonly streamMs: number;
}

/**
 * Decides whether a request that waits for an engine is given up, while its caller can still come back.
 *
 * Load pattern: more than the engines can read for longer than callers wait. A request that could not end in time any
 * more would only take the engines' time from those that can.
 *
 * @param route - the route
 * @param times - how long it has waited, and what it would need
 * @returns whether it is refused now, as not run
 */
export const shouldGiveUp = (route: Route, times: WaitingTimes): boolean =>
  times.waitedMs > computePatienceMs(route) * MAX_WAIT_SHARE ||
  times.remainingMs < times.prefillMs + times.streamMs;

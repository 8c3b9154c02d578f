import type { Route } from '../configuration/index.js';

/** Callers leave a stream, also before its first event, after the longest of these (the users' pages). */
const LEAST_PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;

/** Part of its caller's patience that a request may wait for an engine: the rest is for reading the prompt. */
const WAITING_SHARE = 0.6;

/**
 * Computes how long a caller waits for the first event of a stream.
 *
 * @param route - the route
 * @returns milliseconds
 */
export const computePatienceMs = (route: Route): number =>
  Math.max(LEAST_PATIENCE_MS, route.targetMs * PATIENCE_TARGETS, route.eventGapMs * PATIENCE_GAPS);

/**
 * Decides whether a request that waits for an engine is given up, while its caller can still come back.
 *
 * Load pattern: more than the engines can read for longer than callers wait.
 *
 * @param route - the route
 * @param waitedMs - how long it has waited
 * @returns whether it is refused now, as not run
 */
export const shouldGiveUp = (route: Route, waitedMs: number): boolean =>
  waitedMs > computePatienceMs(route) * WAITING_SHARE;

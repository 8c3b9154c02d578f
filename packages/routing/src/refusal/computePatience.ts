import type { Route } from '../configuration/index.js';

/**
 * Callers abandon a stream, even before its first event, after the longest of three times: this minimum and the
 * following multiples of the route's targets (according to the host platform's documentation).
 */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;

/** Share of the caller's patience that a request may spend in the queue; the rest is left for prefill. */
const MAX_WAIT_SHARE = 0.6;

/**
 * Computes the caller's patience: the time that it waits for the first event of a stream.
 *
 * @param route - route of the request
 * @returns the patience, in milliseconds
 */
export const computePatienceMs = (route: Route): number =>
  Math.max(MIN_PATIENCE_MS, route.targetMs * PATIENCE_TARGETS, route.eventGapMs * PATIENCE_GAPS);

/**
 * Computes the longest time that a request may spend in the queue.
 *
 * @param route - route of the request
 * @returns the time, in milliseconds
 */
export const computeLongestWaitMs = (route: Route): number =>
  computePatienceMs(route) * MAX_WAIT_SHARE;

/** Elapsed, remaining and expected times of a queued request, in milliseconds. */
export interface WaitingTimes {
  readonly waitedMs: number;
  /** Time left until the caller's deadline. */
  readonly remainingMs: number;
  /** Prefill time on an idle engine. */
  readonly prefillMs: number;
  /** Current estimate of the time from the first event to the end of a stream of the route. */
  readonly streamMs: number;
}

/**
 * Decides whether to refuse a queued request, early enough for its caller to retry.
 *
 * Load pattern: overload that lasts longer than callers wait. A request that can no longer complete in time would only
 * take engine time from those that can.
 *
 * @param route - the route
 * @param times - times of the request
 * @returns whether it is refused now, as not run
 */
export const shouldRefuse = (route: Route, times: WaitingTimes): boolean =>
  times.waitedMs > computeLongestWaitMs(route) ||
  times.remainingMs < times.prefillMs + times.streamMs;

import { RouteKind } from '@sardinegrade/routing';

import type { Route } from '@sardinegrade/routing';

/** A stream's first event is given up after this many times its target; the users' clients leave at four. */
const FIRST_EVENT_TARGET_FACTOR = 3;

/** Least wait for a first event, in milliseconds: a long prompt takes over a second to read. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 1_200;

/** A stream that has begun is given up after this many of its longest pauses, and this time at least. */
const EVENT_GAP_FACTOR = 4;
const MIN_EVENT_GAP_TIMEOUT_MS = 600;

/** A plain answer is given up after this many times its target, and this time at least. */
const ANSWER_TARGET_FACTOR = 2.5;
const MIN_ANSWER_TIMEOUT_MS = 250;

/**
 * Computes how long a worker may be silent before repeatable work goes to another one.
 *
 * @param route - the route
 * @param hasFirstEvent - whether an event has come
 * @returns milliseconds
 */
export const computeSilenceTimeoutMs = (route: Route, hasFirstEvent: boolean): number => {
  if (route.kind !== RouteKind.Streaming) {
    return Math.max(MIN_ANSWER_TIMEOUT_MS, route.targetMs * ANSWER_TARGET_FACTOR);
  }
  if (hasFirstEvent) return Math.max(MIN_EVENT_GAP_TIMEOUT_MS, route.eventGapMs * EVENT_GAP_FACTOR);
  return Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, route.targetMs * FIRST_EVENT_TARGET_FACTOR);
};

import { RouteKind } from '@sardinegrade/routing';

import type { Route } from '@sardinegrade/routing';

/** A stream's first event is given up after this many times its target; the users' clients leave at four. */
const FIRST_EVENT_TARGETS = 3;

/** Least wait for a first event, in milliseconds: a long prompt takes over a second to read. */
const FIRST_EVENT_LEAST_MS = 1_200;

/** A stream that has begun is given up after this many of its longest pauses, and this time at least. */
const EVENT_GAPS = 4;
const EVENT_GAP_LEAST_MS = 600;

/** A plain answer is given up after this many times its target, and this time at least. */
const ANSWER_TARGETS = 2.5;
const ANSWER_LEAST_MS = 250;

/**
 * Computes how long a worker may be silent before repeatable work goes to another one.
 *
 * @param route - the route
 * @param hasBegun - whether an event has come
 * @returns milliseconds
 */
export const computeSilenceMs = (route: Route, hasBegun: boolean): number => {
  if (route.kind !== RouteKind.Streaming) {
    return Math.max(ANSWER_LEAST_MS, route.targetMs * ANSWER_TARGETS);
  }
  if (hasBegun) return Math.max(EVENT_GAP_LEAST_MS, route.eventGapMs * EVENT_GAPS);
  return Math.max(FIRST_EVENT_LEAST_MS, route.targetMs * FIRST_EVENT_TARGETS);
};

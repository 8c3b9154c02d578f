import { RouteKind } from '@sardinegrade/routing';

import type { Route } from '@sardinegrade/routing';

/** Timeout for a stream's first event, as a multiple of its target. Callers leave after four times the target. */
const FIRST_EVENT_TARGET_FACTOR = 3;

/** Minimum timeout for a first event, in milliseconds: prefill of a long prompt takes over a second. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 1_200;

/** Timeout for the next event of a stream, as a multiple of the target for the gap, and its minimum in milliseconds. */
const EVENT_GAP_FACTOR = 4;
const MIN_EVENT_GAP_TIMEOUT_MS = 600;

/** Timeout for a plain answer, as a multiple of its target, and its minimum in milliseconds. */
const ANSWER_TARGET_FACTOR = 2.5;
const MIN_ANSWER_TIMEOUT_MS = 250;

/**
 * Computes how long a worker may send nothing before a repeatable request is sent to another one.
 *
 * @param route - route of the request
 * @param hasFirstEvent - whether an event has been received
 * @returns the timeout, in milliseconds
 */
export const computeSilenceTimeoutMs = (route: Route, hasFirstEvent: boolean): number => {
  if (route.kind !== RouteKind.Streaming) {
    return Math.max(MIN_ANSWER_TIMEOUT_MS, route.targetMs * ANSWER_TARGET_FACTOR);
  }
  if (hasFirstEvent) return Math.max(MIN_EVENT_GAP_TIMEOUT_MS, route.eventGapMs * EVENT_GAP_FACTOR);
  return Math.max(MIN_FIRST_EVENT_TIMEOUT_MS, route.targetMs * FIRST_EVENT_TARGET_FACTOR);
};

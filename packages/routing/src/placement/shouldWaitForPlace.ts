import { computeLongestWaitMs } from '../refusal/computePatience.js';

import type { RouteTargets } from '../refusal/computePatience.js';

/**
 * Requests that a worker of a plain service has for all its places to count as taken, as a multiple of its slots. Some wait at
 * the worker, so that it has work until VMs hear of a free slot, up to 0.3 s later.
 */
const PLACES_SHARE = 2;

/** Share of free places from which requests are sent at once: half of the slots are free, too. */
const AMPLE_SHARE = 0.75;

/**
 * Passes over a queue between two reports of the other VMs. Free places are shared out by chance among all that wait, over the
 * passes of one interval: if all requests were sent on the same report, most would be rejected.
 */
const PASSES_PER_REPORT = 8;

/** Parts of the time limit and of the longest permitted wait after which a request is sent although no place is free. */
const MAX_LIMIT_SHARE = 0.3;
const MAX_WAIT_SHARE = 0.75;

/** A worker of a plain service, with the requests of all VMs. */
export interface PlaceView {
  readonly runs: number;
  /** Maximum number of concurrent requests; 0 if it is unknown or another rule keeps to it. */
  readonly slots: number;
  /** Whether it is used only if no other worker is left. */
  readonly isAvoided: boolean;
}

/** A request that may have to wait for a place. Times are in milliseconds. */
export interface PlaceSeeker {
  readonly waitedMs: number;
  readonly timeoutMs: number;
  /** Requests that wait at all VMs. */
  readonly waitingRequests: number;
  /** Random number from 0 to 1. */
  readonly draw: number;
}

/**
 * Decides whether a request to a plain service waits at this VM because all slots of its workers are taken and the places to
 * wait there are taken or go to others. It is sent at once while half of the slots are free.
 *
 * Load pattern: many VMs send to a few workers, which reject what exceeds their places. Rejected requests use up their sends and
 * the workers' time, and the next place goes to whoever asks first.
 *
 * @param workers - the workers that may run the request
 * @param route - route of the request
 * @param request - times of the request and what waits beside it
 * @returns whether it waits
 */
export const shouldWaitForPlace = (
  workers: readonly PlaceView[],
  route: RouteTargets,
  { waitedMs, timeoutMs, waitingRequests, draw }: PlaceSeeker,
): boolean => {
  const longestMs = Math.min(
    timeoutMs * MAX_LIMIT_SHARE,
    computeLongestWaitMs(route) * MAX_WAIT_SHARE,
  );
  if (waitedMs >= longestMs) return false;
  const usable = workers.filter(({ isAvoided }) => !isAvoided);
  if (usable.some(({ slots }) => slots === 0)) return false;
  let places = 0;
  let free = 0;
  for (const { runs, slots } of usable) {
    places += slots * PLACES_SHARE;
    free += Math.max(0, slots * PLACES_SHARE - runs);
  }
  if (free >= places * AMPLE_SHARE) return false;
  return draw * PASSES_PER_REPORT * (waitingRequests + 1) >= free;
};

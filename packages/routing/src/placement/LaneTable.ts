import { RouteKind } from '../configuration/index.js';

import { PromptLane } from './shouldWait.js';

import type { ServiceName } from '@sardinegrade/common';
import type { Route } from '../configuration/index.js';

/**
 * Maximum target for the first event that always counts as tight, in milliseconds. Prefill of a long prompt takes as
 * long.
 */
const TIGHT_TARGET_MS = 400;

/**
 * Maximum share of a service's longest target at which its shortest one counts as tight: prompts with the longest
 * target then delay the others by a multiple of what these may wait.
 */
const TIGHT_TARGET_SHARE = 0.25;

/** Shortest and longest target of a service's streaming routes, in milliseconds. */
interface TargetRange {
  readonly minMs: number;
  readonly maxMs: number;
}

const listRanges = (routes: readonly Route[]): ReadonlyMap<ServiceName, TargetRange> => {
  const ranges = new Map<ServiceName, TargetRange>();
  for (const { kind, targetMs, shares } of routes) {
    if (kind !== RouteKind.Streaming) continue;
    for (const { service, weight } of shares) {
      if (weight === 0) continue;
      const { minMs, maxMs } = ranges.get(service) ?? { minMs: targetMs, maxMs: targetMs };
      ranges.set(service, { minMs: Math.min(minMs, targetMs), maxMs: Math.max(maxMs, targetMs) });
    }
  }
  return ranges;
};

/**
 * Tells the lane of prompts by the targets of all routes of their service.
 *
 * Load pattern: short prompts of interactive callers beside long ones whose targets are a multiple of theirs. A fixed
 * bound alone took the most urgent prompts of a deployment with slightly longer targets for bulk.
 */
export class LaneTable {
  readonly #ranges: ReadonlyMap<ServiceName, TargetRange>;

  /** @param routes - all routes of one configuration version */
  constructor(routes: readonly Route[]) {
    this.#ranges = listRanges(routes);
  }

  /**
   * Gets the lane of a prompt.
   *
   * @param service - service of the request
   * @param targetMs - target of its route for the first event, in milliseconds
   * @returns the lane
   */
  getLane(service: ServiceName, targetMs: number): PromptLane {
    if (targetMs <= TIGHT_TARGET_MS) return PromptLane.Tight;
    const range = this.#ranges.get(service);
    if (range === undefined || targetMs > range.minMs) return PromptLane.Bulk;
    return range.minMs <= range.maxMs * TIGHT_TARGET_SHARE ? PromptLane.Tight : PromptLane.Bulk;
  }
}

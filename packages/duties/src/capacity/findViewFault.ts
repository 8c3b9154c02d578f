import type { ScalingBounds } from '@sardinegrade/routing';
import type { CapacityView, ServiceView } from './types.js';

/** Age of a view above which nothing is ordered, in milliseconds. */
const MAX_VIEW_AGE_MS = 3_000;

/** Smallest share of the listed VMs whose load must be known. */
const MIN_HEARD_SHARE = 0.5;

/**
 * Finds the reason why a view does not suffice for a decision.
 *
 * Load pattern: two of three data centres are cut. The load of the others then seems to have gone, and their workers would
 * be given up while callers there still need them.
 *
 * @param view - what this VM knows; undefined if it knows nothing yet
 * @returns the reason; undefined if the view suffices
 */
export const findViewFault = (view: CapacityView | undefined): string | undefined => {
  if (view === undefined) return 'the configuration, the workers or the VMs are not known yet';
  const { ageMs, heardVmCount, listedVmCount } = view;
  if (!(ageMs <= MAX_VIEW_AGE_MS)) return `the view is older than ${MAX_VIEW_AGE_MS} ms`;
  if (!(heardVmCount >= listedVmCount * MIN_HEARD_SHARE))
    return 'the load of fewer than half of the listed VMs is known';
  return undefined;
};

const isPrice = (price: number): boolean => Number.isFinite(price) && price >= 0;

const findBoundsFault = (bounds: ScalingBounds): string | undefined => {
  const { min, max, bootMs, spotPrice, prices } = bounds;
  if (!Number.isInteger(min) || !Number.isInteger(max) || min < 0 || max < min)
    return `the bounds contradict each other: min ${min}, max ${max}`;
  if (!(bootMs >= 0 && bootMs < Number.POSITIVE_INFINITY)) return `the boot time is ${bootMs} ms`;
  if (prices.size === 0) return 'no data centre has a price';
  if (![...prices.values(), spotPrice ?? 0].every(isPrice))
    return 'a price is not a number of at least 0';
  return undefined;
};

/**
 * Finds the reason why the number of workers of a service is not decided.
 *
 * @param view - the service
 * @returns the reason; undefined if it can be decided
 */
export const findServiceFault = ({ bounds, engine }: ServiceView): string | undefined => {
  const fault = findBoundsFault(bounds);
  if (fault !== undefined) return fault;
  if (engine === undefined) return 'the service has no engines, or no route leads to it';
  const { slots, prefillTokensPerMs, targetMs } = engine;
  if (!(slots > 0 && prefillTokensPerMs > 0 && targetMs > 0))
    return 'the slots, the prefill rate and the latency target must be above 0';
  return undefined;
};

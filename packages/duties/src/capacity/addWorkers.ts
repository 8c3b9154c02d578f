import {
  computePrice,
  countAllWorkers,
  countOrdinary,
  countWorkers,
  findLargestSpotGroup,
  NO_WORKERS,
  withCount,
} from './allocation.js';
import { WorkerKind } from './enums.js';

import type { DataCentreName } from '@sardinegrade/common';
import type { ScalingBounds } from '@sardinegrade/routing';
import type { Allocation, CapacityNeeds, SiteState, WorkerCounts } from './types.js';

/** Inputs of an allocation besides the workers to start from. */
export interface AdditionContext {
  readonly bounds: ScalingBounds;
  readonly needs: CapacityNeeds;
  /** Data centres that are not partitioned from this VM. */
  readonly sites: readonly SiteState[];
}

/** A worker to add. */
interface Addition {
  readonly dataCentre: DataCentreName;
  readonly kind: WorkerKind;
}

type AdditionChooser = (allocation: Allocation, context: AdditionContext) => Addition | undefined;

/** Largest share of the needed ordinary workers in one data centre while another one has room. */
const MAX_SITE_SHARE = 2 / 3;

const getCounts = (allocation: Allocation, { dataCentre }: SiteState): WorkerCounts =>
  allocation.get(dataCentre) ?? NO_WORKERS;

const listRoomy = (
  allocation: Allocation,
  { sites, bounds }: AdditionContext,
  kind: WorkerKind,
): readonly SiteState[] =>
  sites.filter((site) => {
    const counts = getCounts(allocation, site);
    // Workers that are in force already need no further order.
    const canHave = site.canOrder[kind] || counts[kind] < site.inForce[kind];
    return (
      canHave &&
      countWorkers(counts) < bounds.max &&
      computePrice(bounds, site.dataCentre, kind) < Number.POSITIVE_INFINITY
    );
  });

const findLowest = (
  sites: readonly SiteState[],
  computeKey: (site: SiteState) => number,
): SiteState | undefined =>
  sites.reduce<SiteState | undefined>(
    (lowest, site) =>
      lowest === undefined || computeKey(site) < computeKey(lowest) ? site : lowest,
    undefined,
  );

/** Chooses the cheapest data centre for an ordinary worker, but not the same one for nearly all of them. */
const chooseOrdinary = (
  allocation: Allocation,
  context: AdditionContext,
  needed: number,
): Addition | undefined => {
  const roomy = listRoomy(allocation, context, WorkerKind.Ordinary);
  const most = Math.ceil(needed * MAX_SITE_SHARE);
  const spread = roomy.filter(
    (site) => getCounts(allocation, site)[WorkerKind.Ordinary] < Math.max(1, most),
  );
  const site = findLowest(spread.length > 0 ? spread : roomy, ({ dataCentre }) =>
    computePrice(context.bounds, dataCentre, WorkerKind.Ordinary),
  );
  return site && { dataCentre: site.dataCentre, kind: WorkerKind.Ordinary };
};

/** Adds ordinary workers for the mean load: all spot workers may be reclaimed, one data centre after the other. */
const chooseForMean: AdditionChooser = (allocation, context) => {
  const { ordinary } = context.needs;
  if (countOrdinary(allocation) >= ordinary) return undefined;
  return chooseOrdinary(allocation, context, ordinary);
};

const chooseForMinimum: AdditionChooser = (allocation, context) => {
  const { bounds } = context;
  const below = context.sites.filter(
    (site) => countWorkers(getCounts(allocation, site)) < bounds.min,
  );
  for (const kind of [WorkerKind.Spot, WorkerKind.Ordinary]) {
    const isDearer = kind === WorkerKind.Spot && (bounds.spotPrice ?? 1) >= 1;
    if (isDearer) continue;
    const [site] = listRoomy(allocation, { ...context, sites: below }, kind);
    if (site !== undefined) return { dataCentre: site.dataCentre, kind };
  }
  return undefined;
};

/** Adds spot workers where they are cheaper, to the smallest group first, so that the loss of a group costs least. */
const chooseForTotal: AdditionChooser = (allocation, context) => {
  const { needs, bounds } = context;
  const total = countAllWorkers(allocation);
  const largest = findLargestSpotGroup(allocation);
  const isBelowTotal = total < needs.total;
  if (!isBelowTotal && total - largest >= needs.afterLoss) return undefined;
  const ordinary = chooseOrdinary(allocation, context, needs.total);
  const ordinaryPrice =
    ordinary === undefined
      ? Number.POSITIVE_INFINITY
      : computePrice(bounds, ordinary.dataCentre, WorkerKind.Ordinary);
  const cheaper = listRoomy(allocation, context, WorkerKind.Spot).filter(
    ({ dataCentre }) => computePrice(bounds, dataCentre, WorkerKind.Spot) < ordinaryPrice,
  );
  const smallest = findLowest(cheaper, (site) => getCounts(allocation, site)[WorkerKind.Spot]);
  if (smallest === undefined) return ordinary;
  // More workers in the only group that can still grow do not help once that group is lost.
  const helps =
    isBelowTotal ||
    cheaper.length > 1 ||
    getCounts(allocation, smallest)[WorkerKind.Spot] < largest;
  return helps ? { dataCentre: smallest.dataCentre, kind: WorkerKind.Spot } : ordinary;
};

const CHOOSERS: readonly AdditionChooser[] = [chooseForMean, chooseForMinimum, chooseForTotal];

const chooseAddition: AdditionChooser = (allocation, context) => {
  for (const choose of CHOOSERS) {
    const addition = choose(allocation, context);
    if (addition !== undefined) return addition;
  }
  return undefined;
};

/**
 * Adds workers until the needs are met or no more can be had.
 *
 * Load pattern: all spot workers of a data centre are reclaimed at the peak of a wave. Ordinary workers for the mean load go
 * to the cheapest data centres, at least two; the rest are spot workers in groups of equal size.
 *
 * @param start - the workers to start from
 * @param context - needs, bounds and what can be ordered
 * @returns the allocation; it may fall short of the needs
 */
export const addWorkers = (start: Allocation, context: AdditionContext): Allocation => {
  let allocation = start;
  for (;;) {
    const addition = chooseAddition(allocation, context);
    if (addition === undefined) return allocation;
    const { dataCentre, kind } = addition;
    const counts = allocation.get(dataCentre) ?? NO_WORKERS;
    allocation = withCount(allocation, dataCentre, kind, counts[kind] + 1);
  }
};

import { WorkerKind } from './enums.js';

import type { DataCentreName } from '@sardinegrade/common';
import type { ScalingBounds } from '@sardinegrade/routing';
import type { Allocation, CapacityNeeds, WorkerCounts } from './types.js';

/** No workers of either kind. */
export const NO_WORKERS: WorkerCounts = { [WorkerKind.Ordinary]: 0, [WorkerKind.Spot]: 0 };

/** All kinds of workers. */
export const WORKER_KINDS = Object.values(WorkerKind);

/** @returns number of workers of both kinds */
export const countWorkers = (counts: WorkerCounts): number =>
  counts[WorkerKind.Ordinary] + counts[WorkerKind.Spot];

/** @returns number of workers of both kinds in all data centres */
export const countAllWorkers = (allocation: Allocation): number =>
  [...allocation.values()].reduce((sum, counts) => sum + countWorkers(counts), 0);

/** @returns the allocation with the number of one kind in one data centre changed */
export const withCount = (
  allocation: Allocation,
  dataCentre: DataCentreName,
  kind: WorkerKind,
  count: number,
): Allocation =>
  new Map(allocation).set(dataCentre, {
    ...(allocation.get(dataCentre) ?? NO_WORKERS),
    [kind]: count,
  });

/**
 * Computes the price of a second of a worker.
 *
 * @param bounds - bounds and prices of the service
 * @param dataCentre - where the worker is
 * @param kind - the kind of worker
 * @returns the price; infinite if there are no such workers
 */
export const computePrice = (
  { prices, spotPrice }: ScalingBounds,
  dataCentre: DataCentreName,
  kind: WorkerKind,
): number => {
  const price = prices.get(dataCentre);
  const share = kind === WorkerKind.Ordinary ? 1 : spotPrice;
  return price === undefined || share === undefined ? Number.POSITIVE_INFINITY : price * share;
};

/** @returns price of a second of all workers */
export const computeCost = (allocation: Allocation, bounds: ScalingBounds): number =>
  [...allocation].reduce(
    (sum, [dataCentre, counts]) =>
      WORKER_KINDS.filter((kind) => counts[kind] > 0).reduce(
        (cost, kind) => cost + counts[kind] * computePrice(bounds, dataCentre, kind),
        sum,
      ),
    0,
  );

/** @returns size of the largest group of spot workers, which may be lost at once */
export const findLargestSpotGroup = (allocation: Allocation): number =>
  Math.max(0, ...[...allocation.values()].map((counts) => counts[WorkerKind.Spot]));

/** @returns number of ordinary workers in all data centres */
export const countOrdinary = (allocation: Allocation): number =>
  [...allocation.values()].reduce((sum, counts) => sum + counts[WorkerKind.Ordinary], 0);

/**
 * Checks whether an allocation lacks workers.
 *
 * @param allocation - the workers
 * @param needs - how many are needed
 * @param share - share of the needs that must be met
 * @returns whether one of the needs is not met
 */
export const isShort = (allocation: Allocation, needs: CapacityNeeds, share = 1): boolean => {
  const total = countAllWorkers(allocation);
  return (
    total < needs.total * share ||
    total - findLargestSpotGroup(allocation) < needs.afterLoss * share ||
    countOrdinary(allocation) < needs.ordinary * share
  );
};

import {
  computeCost,
  computePrice,
  countAllWorkers,
  countWorkers,
  isShort,
  NO_WORKERS,
  withCount,
  WORKER_KINDS,
} from './allocation.js';
import { computeNeeds } from './computeNeeds.js';
import { PlanReason } from './enums.js';
import { addWorkers } from './addWorkers.js';

import type { AdditionContext } from './addWorkers.js';
import type { Allocation, CapacityPlan, PlanInput, SiteState } from './types.js';

/**
 * Share of the needs below which workers are added, and share of the total to which they are. Between the two the workers
 * stay as they are: the peak of 20 s of a steady load varies by some 3 % either way, which with a band of 5 % caused an order
 * in 160 s of one run in eight.
 */
const SHORTFALL_SHARE = 0.96;
const AMPLE_SHARE = 1.04;

/** Saving below which the workers in force stay as they are, as a share of their price. */
const MIN_SAVING_SHARE = 0.1;

/** Largest share of the workers that is given up at once. */
const MAX_REDUCTION_SHARE = 0.25;

const toAllocation = (sites: readonly SiteState[]): Allocation =>
  new Map(sites.map(({ dataCentre, inForce }) => [dataCentre, inForce]));

/** Raises the numbers of an allocation to those of another one, as far as the maximum permits. */
const addMissing = (start: Allocation, target: Allocation, max: number): Allocation => {
  let raised = start;
  for (const [dataCentre, counts] of target) {
    for (const kind of WORKER_KINDS) {
      const current = raised.get(dataCentre) ?? NO_WORKERS;
      const room = Math.max(0, max - countWorkers(current));
      const count = Math.min(counts[kind], current[kind] + room);
      if (count > current[kind]) raised = withCount(raised, dataCentre, kind, count);
    }
  }
  return raised;
};

/** Lowers the numbers of an allocation towards those of another one, the dearest workers first, while the needs are met. */
const removeExcess = (
  start: Allocation,
  target: Allocation,
  context: AdditionContext,
): Allocation => {
  const groups = context.sites
    .flatMap(({ dataCentre }) => WORKER_KINDS.map((kind) => ({ dataCentre, kind })))
    .map((group) => ({
      ...group,
      price: computePrice(context.bounds, group.dataCentre, group.kind),
    }))
    .sort((left, right) => right.price - left.price);
  let lowered = start;
  let left = Math.max(1, Math.floor(countAllWorkers(start) * MAX_REDUCTION_SHARE));
  for (const { dataCentre, kind } of groups) {
    const lowest = target.get(dataCentre)?.[kind] ?? 0;
    for (let count = lowered.get(dataCentre)?.[kind] ?? 0; count > lowest && left > 0; count -= 1) {
      const next = withCount(lowered, dataCentre, kind, count - 1);
      if (isShort(next, context.needs)) break;
      lowered = next;
      left -= 1;
    }
  }
  return lowered;
};

const isEqual = (first: Allocation, second: Allocation): boolean =>
  [...first].every(([dataCentre, counts]) =>
    WORKER_KINDS.every((kind) => second.get(dataCentre)?.[kind] === counts[kind]),
  );

/** Plans a cheaper allocation: what it adds is ordered first, and nothing is given up until that serves. */
const chooseReduction = (
  inForce: Allocation,
  context: AdditionContext,
): readonly [PlanReason, Allocation] => {
  const { bounds, sites } = context;
  const empty = new Map(sites.map(({ dataCentre }) => [dataCentre, NO_WORKERS]));
  const target = addWorkers(empty, context);
  const saving = computeCost(inForce, bounds) - computeCost(target, bounds);
  const isOverMaximum = [...inForce.values()].some((counts) => countWorkers(counts) > bounds.max);
  if (saving < computeCost(inForce, bounds) * MIN_SAVING_SHARE && !isOverMaximum)
    return [PlanReason.Unchanged, inForce];
  const raised = addMissing(inForce, target, bounds.max);
  if (!isEqual(raised, inForce)) return [PlanReason.Exchange, raised];
  const isBooting = sites.some(({ ready, inForce: ordered }) =>
    WORKER_KINDS.some((kind) => ready[kind] < ordered[kind]),
  );
  if (isBooting) return [PlanReason.Unchanged, inForce];
  const lowered = removeExcess(inForce, target, context);
  return [isEqual(lowered, inForce) ? PlanReason.Unchanged : PlanReason.Relief, lowered];
};

/**
 * Decides how many workers of each kind each data centre is to have.
 *
 * Load pattern: waves, bursts of one class, and reclaims of all spot workers of a data centre. What is missing is ordered at
 * once. What is too much is given up a quarter at a time, and only if that saves a tenth of the price: numbers that follow
 * each wave would be too low at the next crest.
 *
 * @param input - demand, workers, orders in force, and what can be ordered at present
 * @returns the plan; its allocation has an entry for each data centre that is not cut
 */
export const planCapacity = ({
  bounds,
  engine,
  demand,
  sites,
  mayReduce,
}: PlanInput): CapacityPlan => {
  const needs = computeNeeds(demand, engine);
  const ample = { ...needs, total: Math.ceil(needs.total * AMPLE_SHARE) };
  const context: AdditionContext = {
    bounds,
    needs: ample,
    sites: sites.filter(({ isCut }) => !isCut),
  };
  const inForce = toAllocation(context.sites);
  const isBelowMinimum = [...inForce.values()].some((counts) => countWorkers(counts) < bounds.min);
  if (isBelowMinimum || isShort(inForce, needs, SHORTFALL_SHARE)) {
    const allocation = addWorkers(inForce, context);
    const reason = isEqual(allocation, inForce) ? PlanReason.Unchanged : PlanReason.Shortfall;
    return { reason, allocation, needs };
  }
  if (!mayReduce) return { reason: PlanReason.Unchanged, allocation: inForce, needs };
  const [reason, allocation] = chooseReduction(inForce, context);
  return { reason, allocation, needs };
};

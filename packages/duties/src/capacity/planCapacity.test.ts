import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import {
  computeCost,
  countAllWorkers,
  countOrdinary,
  countWorkers,
  findLargestSpotGroup,
} from './allocation.js';
import { PlanReason, WorkerKind } from './enums.js';
import { planCapacity } from './planCapacity.js';
import { BOUNDS } from './testing/runReplay.js';
import { ENGINE } from './testing/WorkerModel.js';

import type { DataCentreName } from '@sardinegrade/common';
import type { EngineDemand, PlanInput, SiteState, WorkerCounts } from './types.js';

const NAMES = [...BOUNDS.prices.keys()];
const ALL = { [WorkerKind.Ordinary]: true, [WorkerKind.Spot]: true };

const buildSite = (
  dataCentre: DataCentreName,
  ordinary: number,
  spot = 0,
  part: Partial<SiteState> = {},
): SiteState => {
  const counts: WorkerCounts = { [WorkerKind.Ordinary]: ordinary, [WorkerKind.Spot]: spot };
  return { dataCentre, ready: counts, inForce: counts, canOrder: ALL, isCut: false, ...part };
};

const toDemand = (requests: number): EngineDemand => ({
  requests,
  busyEngines: requests / 50,
  pendingTokens: requests * 20,
});

const buildInput = (requests: number, part: Partial<PlanInput> = {}): PlanInput => ({
  bounds: BOUNDS,
  engine: ENGINE,
  demand: { peak: toDemand(requests), mean: toDemand(requests * 0.8), coveredMs: 20_000 },
  sites: NAMES.map((name) => buildSite(name, 0)),
  mayReduce: true,
  ...part,
});

test('an empty fleet gets ordinary workers in two data centres for the mean load, and spot workers in all', () => {
  const { reason, allocation, needs } = planCapacity(buildInput(960));
  assert.equal(reason, PlanReason.Shortfall);
  assert.equal(countOrdinary(allocation), needs.ordinary);
  const groups = [...allocation.values()];
  assert.equal(groups.filter((counts) => counts[WorkerKind.Ordinary] > 0).length, 2);
  assert.equal(groups.filter((counts) => counts[WorkerKind.Spot] > 0).length, 3);
});

test('spot workers are not ordered where they cost more, or where there are none', () => {
  for (const spotPrice of [undefined, 2]) {
    const { allocation, needs } = planCapacity(
      buildInput(960, { bounds: { ...BOUNDS, spotPrice } }),
    );
    assert.equal(findLargestSpotGroup(allocation), 0, String(spotPrice));
    assert.ok(countAllWorkers(allocation) >= needs.total);
  }
});

test('a data centre that had none, or that is cut, gets no order, and the others get what is missing', () => {
  const [first, second, third] = NAMES;
  assert.ok(first !== undefined && second !== undefined && third !== undefined);
  const canOrder = { [WorkerKind.Ordinary]: false, [WorkerKind.Spot]: false };
  const sites = [
    buildSite(first, 4, 2, { canOrder }),
    buildSite(second, 4, 2),
    buildSite(third, 4, 2, { isCut: true }),
  ];
  const { allocation, needs } = planCapacity(buildInput(960, { sites }));
  assert.deepEqual(allocation.get(first), sites[0]?.inForce);
  assert.equal(allocation.has(third), false);
  assert.ok(countAllWorkers(allocation) >= needs.total);
});

const counts = fc.nat({ max: 33 });
const buildSites = (dataCentre: DataCentreName): fc.Arbitrary<SiteState> =>
  fc
    .tuple(counts, counts, fc.boolean(), fc.boolean())
    .map(([ordinary, spot, ordinaryAllowed, spotAllowed]) =>
      buildSite(dataCentre, ordinary, spot, {
        canOrder: { [WorkerKind.Ordinary]: ordinaryAllowed, [WorkerKind.Spot]: spotAllowed },
      }),
    );

test('any plan stays within the bounds, adds only, or keeps what the peak needs at a lower price', () => {
  const sitesOf = fc.tuple(...NAMES.map(buildSites));
  fc.assert(
    fc.property(sitesOf, fc.nat({ max: 4_000 }), fc.boolean(), (sites, requests, mayReduce) => {
      const { reason, allocation, needs } = planCapacity(
        buildInput(requests, { sites, mayReduce }),
      );
      const before = new Map(sites.map(({ dataCentre, inForce }) => [dataCentre, inForce]));
      for (const { dataCentre, inForce, canOrder } of sites) {
        const after = allocation.get(dataCentre);
        assert.ok(after !== undefined && countWorkers(after) <= BOUNDS.max);
        for (const kind of Object.values(WorkerKind)) {
          assert.ok(
            canOrder[kind] || after[kind] <= inForce[kind],
            'ordered what is not to be had',
          );
          if (reason !== PlanReason.Relief) assert.ok(after[kind] >= inForce[kind]);
        }
      }
      if (reason !== PlanReason.Relief) return;
      assert.ok(mayReduce && computeCost(allocation, BOUNDS) < computeCost(before, BOUNDS));
      assert.ok(countAllWorkers(allocation) >= needs.total);
      assert.ok(countAllWorkers(allocation) - findLargestSpotGroup(allocation) >= needs.afterLoss);
      assert.ok(countOrdinary(allocation) >= needs.ordinary);
      assert.ok(countAllWorkers(allocation) >= Math.floor(countAllWorkers(before) * 0.75));
    }),
    { seed: 6, numRuns: 300 },
  );
});

// Guards against an event loop that is kept busy by a cache capacity of nearly 0 in the configuration.
test('a working set that would need any number of engines is bounded like other needs', () => {
  const engine = { ...ENGINE, workingSetEngines: Number.POSITIVE_INFINITY };
  const { needs } = planCapacity(buildInput(10, { engine }));
  assert.ok(needs.total <= 2_000);
});

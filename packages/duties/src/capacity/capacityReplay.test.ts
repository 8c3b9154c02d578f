import assert from 'node:assert/strict';
import { test } from 'node:test';

import { DutyOutcome } from '../enums.js';
import { countAllWorkers, countWorkers } from './allocation.js';
import { buildClasses, BOUNDS, Policy, runReplay, computeSteady } from './testing/runReplay.js';

import type { DataCentreName } from '@sardinegrade/common';
import type { TestContext } from 'node:test';
import type { ReplayOptions, ReplayResult } from './testing/runReplay.js';

/** Waves of load as at the deployment: swing 0.27, period 11 s. */
const computeWave = (nowMs: number): number => 1 + 0.27 * Math.sin((nowMs / 11_000) * 2 * Math.PI);

const BURST_FROM_MS = 70_000;
const computeBurst = (nowMs: number): number =>
  nowMs >= BURST_FROM_MS && nowMs < BURST_FROM_MS + 9_000 ? 2.4 : 1;

/** Largest share of late requests: the target of callers. */
const MAX_LATE_SHARE = 0.01;

/** Runs the scaler, today's fixed number and the oracle, and prints the figures of each. */
const compare = async (t: TestContext, options: ReplayOptions): Promise<ReplayResult> => {
  const results = new Map<Policy, ReplayResult>();
  for (const policy of Object.values(Policy)) {
    const result = await runReplay(policy, options);
    results.set(policy, result);
    const { model, orders } = result;
    t.diagnostic(
      `${policy}: ${Math.round(model.workerSeconds)} worker-seconds, price ${Math.round(model.price)}, ` +
        `${model.late} of ${model.arrived} late, ${orders.length} orders`,
    );
  }
  const scaler = results.get(Policy.Scaler);
  const fixed = results.get(Policy.Fixed);
  assert.ok(scaler !== undefined && fixed !== undefined);
  assert.ok(scaler.model.price <= fixed.model.price, 'the orders cost more than the fixed number');
  checkOrders(scaler);
  return scaler;
};

/** Guards against orders outside the bounds of a data centre, and against more calls than the API accepts. */
const checkOrders = ({ orders }: ReplayResult): void => {
  for (const { count, atMs } of orders) {
    assert.ok(count <= BOUNDS.max, `${count} workers ordered at ${atMs}`);
    assert.ok(orders.filter((other) => other.atMs === atMs).length <= 10);
  }
};

test('waves: first events stay in time at each crest, for less than the fixed number costs', async (t) => {
  const result = await compare(t, { classes: buildClasses(computeWave), durationMs: 240_000 });
  assert.ok(result.lateShare <= MAX_LATE_SHARE, `${result.lateShare} late`);
});

test('a burst of one class to 2.4 times for 9 s is carried by the reserve until new workers have booted', async (t) => {
  const classes = buildClasses(computeSteady, computeBurst);
  const result = await compare(t, { classes, durationMs: 120_000 });
  assert.ok(result.lateShare <= MAX_LATE_SHARE, `${result.lateShare} late`);
});

for (const areOthersAvailable of [true, false]) {
  const others = areOthersAvailable
    ? 'replaced elsewhere'
    : 'carried by the others, which are all that is to be had';
  test(`a reclaim of the largest spot group at a crest is ${others}`, async (t) => {
    let reclaimed: DataCentreName | undefined;
    const reclaimMs = 77_000;
    const onStep: ReplayOptions['onStep'] = (model) => {
      if (model.nowMs !== reclaimMs) return;
      reclaimed = model.removeSpotGroup();
      model.isUnavailable = (dataCentre) =>
        model.nowMs < reclaimMs + 10_000 && (!areOthersAvailable || dataCentre === reclaimed);
    };
    const classes = buildClasses(computeWave);
    const result = await compare(t, { classes, durationMs: 120_000, onStep });
    assert.ok(reclaimed !== undefined);
    assert.ok(result.lateShare <= MAX_LATE_SHARE, `${result.lateShare} late`);
    // The lost workers are ordered again within two decisions.
    assert.ok(result.orders.some(({ atMs }) => atMs >= reclaimMs && atMs <= reclaimMs + 2_000));
  });
}

test('a fifth of the workers crash at a crest: they are replaced in time', async (t) => {
  const onStep: ReplayOptions['onStep'] = (model) => {
    if (model.nowMs === 80_000) model.workers = model.workers.filter((_, index) => index % 5 > 0);
  };
  const result = await compare(t, {
    classes: buildClasses(computeWave),
    durationMs: 120_000,
    onStep,
  });
  assert.ok(result.lateShare <= MAX_LATE_SHARE, `${result.lateShare} late`);
});

test('a data centre that accepts orders without effect: its lost workers are replaced elsewhere', async () => {
  const isBroken = (dataCentre: string, atMs: number): boolean =>
    dataCentre === 'haram' && atMs >= 80_000;
  const { model, lateShare } = await runReplay(Policy.Scaler, {
    classes: buildClasses(computeWave),
    // One order without effect, one elsewhere, and their boot times.
    durationMs: 105_000,
    answer: (current, order) =>
      isBroken(order.dataCentre, current.nowMs) ? DutyOutcome.Accepted : current.applyOrder(order),
    onStep: (current) => {
      const { nowMs } = current;
      if (nowMs !== 80_000) return;
      current.workers = current.workers.filter(({ dataCentre }) => !isBroken(dataCentre, nowMs));
    },
  });
  assert.ok(lateShare <= MAX_LATE_SHARE, `${lateShare} late`);
  const neededAtCrest = model.computeEngines(1.27) / 0.85;
  assert.ok(model.workers.length >= neededAtCrest, `${model.workers.length} workers`);
});

test('a third of the VMs unheard: their load seems to have gone, and nothing is given up', async () => {
  const result = await runReplay(Policy.Scaler, {
    classes: buildClasses(computeWave),
    durationMs: 60_000,
    buildView: (model) => model.buildView({ heardVmCount: 50 }),
  });
  assert.equal(countAllWorkers(result.model.count(() => true)), 98);
});

test('waves with a burst: no fixed number that costs less has as few late requests', async (t) => {
  const classes = buildClasses(computeWave, (nowMs) => computeWave(nowMs) * computeBurst(nowMs));
  const options = { classes, durationMs: 240_000 };
  const { model } = await compare(t, options);
  for (const each of [18, 20, 21, 22, 23, 25]) {
    const fixed = await runReplay(Policy.Fixed, { ...options, fixed: [each, each, each] });
    const { price, late, arrived, workerSeconds } = fixed.model;
    t.diagnostic(
      `${each * 3} workers: ${Math.round(workerSeconds)} worker-seconds, price ${Math.round(price)}, ${late} of ${arrived} late`,
    );
    if (price < model.price) assert.ok(late >= model.late, `${each * 3} workers`);
  }
});

test('409 everywhere: nothing is given up that cannot be replaced, and refused orders are 3 s apart', async (t) => {
  const onStep: ReplayOptions['onStep'] = (model) => {
    model.isUnavailable = () => true;
  };
  const classes = buildClasses(computeWave, (nowMs) => computeWave(nowMs) * computeBurst(nowMs));
  const result = await compare(t, { classes, durationMs: 100_000, onStep });
  const tries = new Map<string, number>();
  for (const { dataCentre, isSpot, atMs } of result.orders) {
    const key = `${dataCentre} ${isSpot}`;
    assert.ok(atMs - (tries.get(key) ?? -Infinity) >= 3_000, `${key} at ${atMs}`);
    tries.set(key, atMs);
  }
});

test('a silent API: unanswered orders are repeated every 2 s at most, and the workers stay', async () => {
  const result = await runReplay(Policy.Scaler, {
    classes: buildClasses(computeWave),
    durationMs: 60_000,
    answer: () => undefined,
  });
  checkOrders(result);
  assert.ok(result.orders.length > 0 && result.orders.length <= (60 / 2) * 6);
  assert.equal(countAllWorkers(result.model.count(() => true)), 98);
});

test('two of three data centres cut: nothing is ordered, and one line tells why', async () => {
  const result = await runReplay(Policy.Scaler, {
    classes: buildClasses(computeWave),
    durationMs: 60_000,
    buildView: (model) => model.buildView({ heardVmCount: 25 }),
  });
  assert.deepEqual(result.orders, []);
  assert.deepEqual(result.warnings, [
    'no workers are ordered: the load of fewer than half of the listed VMs is known',
  ]);
});

test('a steady load: after the fixed number has been reduced, no order follows for 60 s', async (t) => {
  const result = await compare(t, { classes: buildClasses(computeSteady), durationMs: 160_000 });
  const later = result.orders.filter(({ atMs }) => atMs >= 100_000);
  assert.deepEqual(later, []);
  // The fixed number is ample, so that any order in the first 10 s would be for fewer or cheaper workers.
  assert.ok(result.orders.every(({ atMs }) => atMs >= 10_000));
  assert.ok(result.lateShare <= MAX_LATE_SHARE, `${result.lateShare} late`);
});

test('an API that executes orders but loses its answers: the numbers settle', async () => {
  const result = await runReplay(Policy.Scaler, {
    classes: buildClasses(computeSteady),
    durationMs: 100_000,
    answer: (model, order) => {
      assert.equal(model.applyOrder(order), DutyOutcome.Accepted);
      return undefined;
    },
  });
  assert.ok(result.lateShare <= MAX_LATE_SHARE, `${result.lateShare} late`);
  for (const counts of result.model.count(() => true).values())
    assert.ok(countWorkers(counts) >= BOUNDS.min);
});

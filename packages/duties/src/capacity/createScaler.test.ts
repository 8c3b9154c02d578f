import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createMetrics, MetricName } from '@sardinegrade/common';

import { DutyOutcome } from '../enums.js';
import { createScaler, SAMPLE_INTERVAL_MS } from './createScaler.js';
import { WorkerKind } from './enums.js';
import { buildClasses, buildLogger, BOUNDS, computeSteady, SETTINGS } from './testing/runReplay.js';
import { WorkerModel } from './testing/WorkerModel.js';

import type { Metrics } from '@sardinegrade/common';
import type { ScalingBounds } from '@sardinegrade/routing';
import type { WorkerOrder } from '../types.js';
import type { CapacityView } from './types.js';

interface TestScaler {
  readonly orders: WorkerOrder[];
  readonly warnings: string[];
  readonly metrics: Metrics;
  isHolder: boolean;
  hasPermit: boolean;
  outcome: DutyOutcome;
  view: CapacityView | undefined;
  readonly run: (durationMs: number) => Promise<void>;
}

/** Creates a scaler of a service without workers, whose time advances without sleeping. */
const createTestScaler = (bounds: ScalingBounds = BOUNDS): TestScaler => {
  let nowMs = 0;
  const warnings: string[] = [];
  const metrics = createMetrics();
  const { tick } = createScaler({
    settings: SETTINGS,
    holder: {
      isHolder: () => scaler.isHolder,
      claimPermit: () => (scaler.hasPermit ? { fence: 1 } : undefined),
    },
    client: {
      orderWorkers: (order) => {
        scaler.orders.push(order);
        return Promise.resolve(scaler.outcome);
      },
      reportUsage: () => Promise.resolve(DutyOutcome.Refused),
    },
    getView: () => scaler.view,
    logger: buildLogger(warnings),
    metrics,
    getNowMs: () => nowMs,
  });
  const scaler: TestScaler = {
    orders: [],
    warnings,
    metrics,
    isHolder: true,
    hasPermit: true,
    outcome: DutyOutcome.Accepted,
    view: new WorkerModel(bounds, buildClasses(computeSteady), 1).buildView(),
    run: async (durationMs) => {
      for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += SAMPLE_INTERVAL_MS) {
        tick();
        await Promise.resolve();
        await Promise.resolve();
      }
    },
  };
  return scaler;
};

test('a VM that does not hold the duty orders nothing; the holder orders the minimum of each data centre', async () => {
  const scaler = createTestScaler();
  scaler.isHolder = false;
  await scaler.run(5_000);
  assert.deepEqual(scaler.orders, []);
  scaler.isHolder = true;
  await scaler.run(2_000);
  assert.equal(scaler.orders.length, BOUNDS.prices.size);
  assert.ok(scaler.orders.every(({ count, isSpot }) => count === 1 && isSpot));
  const labels = { outcome: DutyOutcome.Accepted };
  assert.equal(scaler.metrics.getCount(MetricName.WorkerOrders, labels), 3);
  assert.match(scaler.metrics.renderPrometheus(), /sardinegrade_ordered_workers\{.*kind="spot"/);
});

// Guards against a new holder whose first orders are refused by itself, and so blocked for 2 s when it may send them.
test('a holder without a permit decides nothing, and decides at once when it has one', async () => {
  const scaler = createTestScaler();
  scaler.hasPermit = false;
  await scaler.run(4_000);
  assert.deepEqual(scaler.orders, []);
  scaler.hasPermit = true;
  await scaler.run(SAMPLE_INTERVAL_MS);
  assert.equal(scaler.orders.length, BOUNDS.prices.size);
});

test('an order is not sent again unless its number changes, as long as it may be in force', async () => {
  const scaler = createTestScaler();
  await scaler.run(6_000);
  assert.equal(scaler.orders.length, 3);
});

test('orders refused for good are not repeated, which would spend the calls of all VMs', async () => {
  const scaler = createTestScaler({ ...BOUNDS, spotPrice: undefined });
  scaler.outcome = DutyOutcome.Refused;
  await scaler.run(20_000);
  assert.equal(scaler.orders.length, 3);
});

for (const [reason, bounds] of [
  ['the bounds contradict each other: min 5, max 4', { ...BOUNDS, min: 5, max: 4 }],
  ['no data centre has a price', { ...BOUNDS, prices: new Map() }],
] as const) {
  test(`nothing is ordered and one line says so: ${reason}`, async () => {
    const scaler = createTestScaler(bounds);
    await scaler.run(5_000);
    assert.deepEqual(scaler.orders, []);
    assert.deepEqual(scaler.warnings, [`no workers are ordered: ${reason}`]);
  });
}

for (const [name, view] of [
  ['unknown', undefined],
  ['older than 3 s', { ageMs: 3_001 }],
  ['of unknown age', { ageMs: Number.NaN }],
  ['of fewer than half of the VMs', { heardVmCount: 37 }],
  ['of a service whose routes are gone', { services: [] }],
] as const) {
  test(`nothing is ordered from a view that is ${name}`, async () => {
    const scaler = createTestScaler();
    scaler.view = scaler.view && view && { ...scaler.view, ...view };
    await scaler.run(5_000);
    assert.deepEqual(scaler.orders, []);
    assert.equal(scaler.warnings.length, name.includes('routes') ? 0 : 1);
  });
}

const buildIdleFleet = (view: CapacityView | undefined): CapacityView | undefined =>
  view && {
    ...view,
    services: view.services.map((service) => ({
      ...service,
      demand: { requests: 1, busyEngines: 1, pendingTokens: 0 },
      ready: new Map(
        [...BOUNDS.prices.keys()].map((dataCentre) => [
          dataCentre,
          { [WorkerKind.Ordinary]: 30, [WorkerKind.Spot]: 0 },
        ]),
      ),
    })),
  };

// Guards against a change of the holder after which idle workers are paid for until a whole period of load has been seen again.
test('a successor that has seen the demand on standby gives up workers as soon as it may, another one does not', async () => {
  for (const standbyMs of [20_000, 0]) {
    const scaler = createTestScaler({ ...BOUNDS, spotPrice: undefined });
    scaler.view = buildIdleFleet(scaler.view);
    scaler.isHolder = false;
    await scaler.run(standbyMs);
    scaler.isHolder = true;
    await scaler.run(12_000);
    const hasReduced = scaler.orders.some(({ count, isSpot }) => !isSpot && count < 30);
    assert.equal(hasReduced, standbyMs > 0);
  }
});

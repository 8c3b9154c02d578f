import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createRandomSource } from '@sardinegrade/dispatch';

import { SharedRetryBudget } from './SharedRetryBudget.js';

import type { SharedRetryLimits } from './SharedRetryBudget.js';

const SEED = 3;
const WINDOW_MS = 10_000;
const STEP_MS = 50;
const DURATION_MS = 60_000;

/** Requests a second of one service in the whole fleet. */
const REQUESTS_PER_SECOND = 75;

/** Fleets with the slack of deployments of their size; the last one is larger than its slack. */
const FLEETS = [
  { vms: 7, slack: 54 },
  { vms: 76, slack: 210 },
  { vms: 195, slack: 430 },
  { vms: 420, slack: 300 },
];

interface Replay {
  readonly retriesMs: readonly number[];
  readonly requestsMs: readonly number[];
  readonly failures: number;
}

/** Replays a minute in which a share of the requests fails; each failed one is retried if its VM may. */
const runFailures = (vms: number, limits: SharedRetryLimits, failureShare: number): Replay => {
  const random = createRandomSource(SEED);
  const budgets = Array.from({ length: vms }, () => new SharedRetryBudget(limits, () => vms));
  const retriesMs: number[] = [];
  const requestsMs: number[] = [];
  let failures = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    // Half of the time the load is fivefold, as in a burst.
    const factor = nowMs % (2 * WINDOW_MS) < WINDOW_MS ? 1 : 5;
    const count = Math.round((REQUESTS_PER_SECOND * factor * STEP_MS) / 1_000 + random() - 0.5);
    for (let index = 0; index < count; index += 1) {
      const budget = budgets[Math.floor(random() * vms)];
      assert.ok(budget !== undefined);
      budget.recordRequest(nowMs);
      requestsMs.push(nowMs);
      if (random() >= failureShare) continue;
      failures += 1;
      if (budget.claim(nowMs)) retriesMs.push(nowMs);
    }
  }
  return { retriesMs, requestsMs, failures };
};

const countIn = (timesMs: readonly number[], fromMs: number): number =>
  timesMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;

for (const { vms, slack } of FLEETS) {
  const limits: SharedRetryLimits = { share: 0.2, slack, windowMs: WINDOW_MS };

  test(`${vms} VMs retry most of the few requests that fail`, () => {
    const { retriesMs, failures } = runFailures(vms, limits, 0.05);
    assert.ok(retriesMs.length >= 0.7 * failures, `${retriesMs.length} of ${failures}`);
  });

  test(`${vms} VMs together stay within the limit if each request fails`, () => {
    const { retriesMs, requestsMs } = runFailures(vms, limits, 1);
    assert.ok(retriesMs.length > 0);
    for (let fromMs = 0; fromMs < DURATION_MS; fromMs += STEP_MS) {
      const windows = [fromMs, fromMs - WINDOW_MS / 2, fromMs - WINDOW_MS];
      const requests = Math.max(...windows.map((startMs) => countIn(requestsMs, startMs)));
      const allowed = limits.share * requests + slack;
      const retries = countIn(retriesMs, fromMs);
      assert.ok(retries <= allowed, `${retries} of ${allowed} from ${fromMs} ms`);
    }
  });
}

test('a VM that does not know the number of VMs retries only a ratio of its own requests', () => {
  const limits: SharedRetryLimits = { share: 0.2, slack: 430, windowMs: WINDOW_MS };
  const fleet: { vmCount?: number } = {};
  const budget = new SharedRetryBudget(limits, () => fleet.vmCount);
  budget.recordRequest(0);
  assert.equal(budget.claim(0), false);
  for (let index = 0; index < 7; index += 1) budget.recordRequest(0);
  assert.deepEqual([budget.claim(0), budget.claim(0)], [true, false]);
  fleet.vmCount = 195;
  assert.deepEqual([budget.claim(0), budget.claim(0), budget.claim(0)], [true, true, false]);
});

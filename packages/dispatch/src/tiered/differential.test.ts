import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Tier, toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { createDispatcher } from '../createDispatcher.js';
import { DispatchActionKind, DispatchPolicy } from '../enums.js';
import { createRandomSource } from '../random.js';
import { buildAsk, buildConfiguredEvent, SimulatedShard, toEngineId } from '../testing/index.js';

import type { ClassConfiguration } from '@sardinegrade/common';
import type { SimulatedResult } from '../testing/index.js';

const SEED = 20261204;
const NO_DEADLINE_MS = 1e9;

const CLASSES: readonly Partial<ClassConfiguration>[] = [
  { name: toBranded('query'), tier: Tier.Paying },
  { name: toBranded('history'), tier: Tier.Free, minimumShare: 0.05 },
];

/** A request of a scenario without engine failures. */
interface Arrival {
  readonly gapMs: number;
  readonly outputTokens: number;
  readonly isPaying: boolean;
}

interface PolicyRun {
  readonly grants: readonly string[];
  readonly results: readonly SimulatedResult[];
}

const runPolicy = (
  policy: DispatchPolicy,
  arrivals: readonly Arrival[],
  engines: number,
): PolicyRun => {
  const tuning = { adaptsLimits: false, detectsStragglers: false };
  const dispatcher = createDispatcher({ policy, random: createRandomSource(SEED), tuning });
  const shape = { slots: 2, baseIntervalMs: 20, batchingCost: 0, prefillMsPerToken: 0 };
  const shapes = Array.from({ length: engines }, (_, index) => ({
    ...shape,
    id: toEngineId(index),
  }));
  const grants: string[] = [];
  const shard = new SimulatedShard(dispatcher, shapes, (_event, actions) => {
    for (const action of actions)
      if (action.kind === DispatchActionKind.Grant) grants.push(action.askId);
  });
  shard.send(buildConfiguredEvent({ engines, slots: 2, classes: CLASSES }));
  for (const [number, { gapMs, outputTokens, isPaying }] of arrivals.entries()) {
    if (gapMs > 0) shard.advance(gapMs);
    const ask = buildAsk({
      askId: `ask-${number}`,
      className: isPaying ? 'query' : 'history',
      arrivedAtMs: shard.currentTimeMs,
      deadlineAtMs: NO_DEADLINE_MS,
    });
    shard.request({ ask, outputTokens, isPoison: false });
  }
  while (shard.openCount > 0) shard.advance(50);
  return { grants, results: shard.results };
};

const buildArrivals = (isPaying: fc.Arbitrary<boolean>) =>
  fc.array(
    fc.record({
      gapMs: fc.constantFrom(0, 0, 20, 100),
      outputTokens: fc.integer({ min: 1, max: 60 }),
      isPaying,
    }),
    { minLength: 1, maxLength: 60 },
  );

const computeMeanWait = (run: PolicyRun, className: string): number => {
  const waits = run.results
    .filter(({ request }) => String(request.ask.className) === className)
    .map(({ request, firstTokenAtMs }) => (firstTokenAtMs ?? 0) - request.ask.arrivedAtMs);
  return waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length);
};

test('with one class and one workspace both policies grant in order of arrival', () => {
  const property = fc.property(buildArrivals(fc.constant(true)), (arrivals) => {
    const tiered = runPolicy(DispatchPolicy.Tiered, arrivals, 1);
    const naive = runPolicy(DispatchPolicy.Naive, arrivals, 1);
    assert.deepEqual(tiered.grants, naive.grants);
  });
  fc.assert(property, { seed: SEED, numRuns: 100 });
});

test('without deadlines both policies finish every request', () => {
  const property = fc.property(buildArrivals(fc.boolean()), (arrivals) => {
    for (const policy of Object.values(DispatchPolicy)) {
      const { results } = runPolicy(policy, arrivals, 2);
      assert.equal(results.length, arrivals.length);
      for (const result of results) assert.equal(result.outcome, 'finished');
    }
  });
  fc.assert(property, { seed: SEED, numRuns: 100 });
});

test('paying requests wait no longer under the tiered policy than under the naive one', () => {
  const property = fc.property(buildArrivals(fc.boolean()), (arrivals) => {
    const tiered = computeMeanWait(runPolicy(DispatchPolicy.Tiered, arrivals, 2), 'query');
    const naive = computeMeanWait(runPolicy(DispatchPolicy.Naive, arrivals, 2), 'query');
    // One free request with a guaranteed share may run before a paying one; the steps are up to 100 ms long.
    assert.ok(tiered <= naive + 250, `${tiered} ms against ${naive} ms`);
  });
  fc.assert(property, { seed: SEED, numRuns: 100 });
});

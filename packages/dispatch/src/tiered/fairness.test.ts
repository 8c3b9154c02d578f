import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Tier, toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { createDispatcher } from '../createDispatcher.js';
import { DispatchPolicy } from '../enums.js';
import { createRandomSource } from '../random.js';
import { buildAsk, buildConfiguredEvent, SimulatedShard, toEngineId } from '../testing/index.js';

import type { ClassConfiguration } from '@sardinegrade/common';

const SEED = 20261204;
const SLOTS = 4;
const NO_DEADLINE_MS = 1e9;
const BACKLOG_SIZE = 6;
const STEP_MS = 100;
const STEP_COUNT = 2_000;

/** A stream of requests of one workspace that always has some waiting. */
interface Backlog {
  readonly className: string;
  readonly workspace: string;
  readonly outputTokens: number;
}

const createShard = (
  classes: readonly Partial<ClassConfiguration>[],
  weights: Readonly<Record<string, number>>,
): SimulatedShard => {
  const dispatcher = createDispatcher({
    policy: DispatchPolicy.Tiered,
    random: createRandomSource(SEED),
  });
  const shape = { slots: SLOTS, baseIntervalMs: 20, batchingCost: 0, prefillMsPerToken: 0 };
  const shard = new SimulatedShard(dispatcher, [{ ...shape, id: toEngineId(0) }]);
  shard.send(buildConfiguredEvent({ engines: 1, slots: SLOTS, classes, weights }));
  return shard;
};

const toLabel = ({ className, workspace }: Backlog): string => `${className}/${workspace}`;

/** Keeps all backlogs filled during the run and returns the number of tokens that each was served. */
const runBacklogs = (
  shard: SimulatedShard,
  backlogs: readonly Backlog[],
): ReadonlyMap<string, number> => {
  let asks = 0;
  const open = new Map(backlogs.map((backlog) => [toLabel(backlog), 0]));
  const served = new Map(backlogs.map((backlog) => [toLabel(backlog), 0]));
  for (let step = 0; step < STEP_COUNT; step += 1) {
    for (const backlog of backlogs) {
      const label = toLabel(backlog);
      for (let count = open.get(label) ?? 0; count < BACKLOG_SIZE + SLOTS; count += 1) {
        asks += 1;
        const { className, workspace, outputTokens } = backlog;
        const arrivedAtMs = shard.currentTimeMs;
        const askId = `${label}/${asks}`;
        shard.request({
          ask: buildAsk({
            askId,
            className,
            workspace,
            arrivedAtMs,
            deadlineAtMs: NO_DEADLINE_MS,
            maxTokens: 2_000,
            promptTokens: 0,
          }),
          outputTokens,
          isPoison: false,
        });
      }
      open.set(label, BACKLOG_SIZE + SLOTS);
    }
    shard.advance(STEP_MS);
    for (const { request } of shard.results.splice(0)) {
      const label = `${request.ask.className}/${request.ask.workspace}`;
      open.set(label, (open.get(label) ?? 0) - 1);
      served.set(label, (served.get(label) ?? 0) + request.outputTokens);
    }
  }
  return served;
};

test('workspaces of a class receive tokens in proportion to their weights, regardless of answer length', () => {
  const lengths = fc.array(fc.integer({ min: 5, max: 300 }), { minLength: 2, maxLength: 4 });
  const property = fc.property(lengths, fc.integer({ min: 1, max: 4 }), (outputs, weight) => {
    const weights = Object.fromEntries(
      outputs.map((_, index) => [`w${index}`, index === 0 ? weight : 1]),
    );
    const shard = createShard([{ name: toBranded('query') }], weights);
    const backlogs = outputs.map((outputTokens, index) => ({
      className: 'query',
      workspace: `w${index}`,
      outputTokens,
    }));
    const served = runBacklogs(shard, backlogs);
    const perWeight = backlogs.map(
      (backlog) => (served.get(toLabel(backlog)) ?? 0) / (weights[backlog.workspace] ?? 1),
    );
    // At the end, one round and the answers in progress may not be balanced yet.
    const bound = 2 * (512 + SLOTS * Math.max(256, ...outputs));
    const spread = Math.max(...perWeight) - Math.min(...perWeight);
    assert.ok(spread <= bound, `${perWeight.join(', ')} (bound ${bound})`);
  });
  fc.assert(property, { seed: SEED, numRuns: 30, includeErrorInReport: true });
});

test('a free class receives about its guaranteed share under a paying backlog', () => {
  const classes = [
    { name: toBranded<never>('query') },
    { name: toBranded<never>('history'), tier: Tier.Free, minimumShare: 0.1 },
  ];
  const shard = createShard(classes, {});
  const served = runBacklogs(shard, [
    { className: 'query', workspace: 'rig', outputTokens: 60 },
    { className: 'history', workspace: 'office', outputTokens: 250 },
  ]);
  const free = served.get('history/office') ?? 0;
  const share = free / (free + (served.get('query/rig') ?? 0));
  assert.ok(share >= 0.08 && share <= 0.2, String(share));
});

test('every class is served when all tiers have a backlog', () => {
  const classes = Object.values(Tier).map((tier) => ({ name: toBranded<never>(tier), tier }));
  const shard = createShard(classes, {});
  const backlogs = Object.values(Tier).map((className) => ({
    className,
    workspace: 'rig',
    outputTokens: 40,
  }));
  for (const [label, tokens] of runBacklogs(shard, backlogs)) assert.ok(tokens > 0, label);
});

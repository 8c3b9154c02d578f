import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { createRandomSource } from '../random.js';
import { chooseShard } from './chooseShard.js';
import { rankDispatchers } from './rankDispatchers.js';

import type { VmId } from '@sardinegrade/common';
import type { ShardView } from './types.js';

const SEED = 20261204;

const buildShard = (key: string, change: Partial<ShardView> = {}): ShardView => ({
  key,
  queued: 0,
  freeSlots: 4,
  slots: 8,
  holdMs: 4_000,
  updatedAtMs: 0,
  isReachable: true,
  networkDelayMs: 0,
  ...change,
});

const choose = (shards: readonly ShardView[], prefixBlock?: number) =>
  chooseShard({ shards, prefixBlock, nowMs: 0 }, createRandomSource(SEED))?.key;

test('the shard with the shorter queue is chosen', () => {
  const long = buildShard('long', { queued: 20, freeSlots: 0 });
  assert.equal(choose([long, buildShard('short')]), 'short');
});

test('a prefix stays on its shard until the queue there is much longer', () => {
  const shards = [buildShard('a'), buildShard('b'), buildShard('c')];
  const preferred = choose(shards, 7);
  for (let step = 0; step < 5; step += 1) assert.equal(choose(shards, 7), preferred);
  const loaded = shards.map((shard) =>
    shard.key === preferred ? { ...shard, queued: 40, freeSlots: 0 } : shard,
  );
  assert.notEqual(choose(loaded, 7), preferred);
});

test('another data centre is chosen only if it is reachable and saves more time than it costs', () => {
  const local = buildShard('near', { queued: 4, freeSlots: 0 });
  const remote = buildShard('far', { networkDelayMs: 30 });
  assert.equal(choose([local, remote]), 'far');
  assert.equal(choose([local, { ...remote, isReachable: false }]), 'near');
  assert.equal(choose([buildShard('near'), remote]), 'near');
  assert.equal(choose([{ ...local, isReachable: false }, remote]), 'far');
  assert.equal(choose([]), undefined);
});

test('an unreachable shard is never chosen', () => {
  const views = fc.array(fc.record({ queued: fc.nat(50), isReachable: fc.boolean() }));
  const property = fc.property(views, fc.option(fc.nat(9), { nil: undefined }), (shapes, block) => {
    const shards = shapes.map((shape, index) => buildShard(`s${index}`, shape));
    const key = choose(shards, block);
    const isAny = shards.some(({ isReachable }) => isReachable);
    assert.equal(key !== undefined, isAny);
    assert.ok(key === undefined || shards.find((shard) => shard.key === key)?.isReachable);
  });
  fc.assert(property, { seed: SEED });
});

test('a lost dispatcher is replaced by the next daemon in the order', () => {
  const members = ['vm-1', 'vm-2', 'vm-3'].map((name) => toBranded<VmId>(name));
  const order = rankDispatchers('pool/hobart/0', members);
  assert.deepEqual(
    rankDispatchers('pool/hobart/0', members, new Set(order.slice(0, 1))),
    order.slice(1),
  );
});

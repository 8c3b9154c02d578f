import assert from 'node:assert/strict';
import { test } from 'node:test';

import { DispatchActionKind, DispatchEventKind } from '../enums.js';
import {
  buildConfiguredEvent,
  buildLostEvent,
  buildProbedEvent,
  createTestShard,
  describeActions,
  toEngineId,
} from '../testing/index.js';

import type { DispatchEvent } from '../types.js';

test('a leaving engine receives no new requests, even after it was lost and a probe passed', () => {
  const shard = createTestShard({ engines: 1, slots: 2 });
  shard.ask({ askId: 'running' });
  shard.send({ kind: DispatchEventKind.UpstreamLeaving, upstream: toEngineId(0) }, 10);
  assert.deepEqual(describeActions(shard.ask({ askId: 'next' }, 10)), ['refuse next']);
  shard.send(buildLostEvent(0), 20);
  shard.send(buildProbedEvent(0), 30);
  assert.deepEqual(describeActions(shard.ask({ askId: 'later' }, 40)), ['refuse later']);
});

test('a leaving engine that was removed from the shard and added again is still leaving', () => {
  const shard = createTestShard({ engines: 1, slots: 2 });
  shard.send({ kind: DispatchEventKind.UpstreamLeaving, upstream: toEngineId(0) }, 10);
  const configured = buildConfiguredEvent({ engines: 1, slots: 2 });
  assert.ok(configured.kind === DispatchEventKind.Configured);
  shard.send({ ...configured, upstreams: [] }, 20);
  shard.send(configured, 30);
  assert.deepEqual(describeActions(shard.ask({ askId: 'next' }, 40)), ['refuse next']);
});

test('an engine with more grants than slots after a fail-over is granted only when a slot is free', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'paying-1' });
  shard.ask({ askId: 'held', className: 'history', heldUpstream: toEngineId(0) });
  assert.deepEqual(describeActions(shard.ask({ askId: 'paying-2' }, 400)), ['preempt:pause held']);
  assert.deepEqual(describeActions(shard.release('paying-1', 500)), ['grant paying-2']);
});

test('a straggler is suspended or probed, and reduced after a passed probe', () => {
  const shard = createTestShard({ engines: 3, slots: 4 });
  for (let number = 0; number < 9; number += 1) shard.ask({ askId: `a${number}` });
  const intervals = [20, 20, 200];
  let nowMs = 0;
  const upstreamOf = new Map<string, number>();
  // Same seed and asks, so that its actions show which engine each request was granted.
  const identicalShard = createTestShard({ engines: 3, slots: 4 });
  for (let number = 0; number < 9; number += 1) {
    for (const action of identicalShard.ask({ askId: `a${number}` })) {
      if (action.kind !== DispatchActionKind.Grant) continue;
      upstreamOf.set(action.askId, Number(action.upstream.split('-')[1]));
    }
  }
  for (let step = 1; step <= 20; step += 1) {
    nowMs = step * 400;
    for (const [askId, engine] of upstreamOf) {
      const tokens = Math.floor(nowMs / (intervals[engine] ?? 20));
      shard.send({ kind: DispatchEventKind.Progress, askId, tokens }, nowMs);
    }
    shard.tick(nowMs);
  }
  const listHealth = () => shard.describe().upstreams.map((upstream) => upstream.health);
  assert.deepEqual(listHealth().slice(0, 2), ['healthy', 'healthy']);
  assert.ok(['suspended', 'probing'].includes(listHealth()[2] ?? ''), listHealth().join());
  shard.send(buildProbedEvent(2), nowMs + 10);
  assert.equal(listHealth()[2], 'reduced');
});

test('a load report never lowers the number of own grants, and adds the load of other clients', () => {
  const shard = createTestShard({ engines: 1, slots: 2 });
  const report = (running: number, atMs: number): DispatchEvent => ({
    kind: DispatchEventKind.LoadReport,
    report: {
      upstream: toEngineId(0),
      atMs,
      running,
      queued: 0,
      cacheUse: 0,
      tokenIntervalMs: 20,
      isLeaving: false,
    },
  });
  shard.ask({ askId: 'a' });
  shard.ask({ askId: 'b' });
  shard.send(report(0, 10), 20);
  assert.deepEqual(shard.ask({ askId: 'c' }, 30), []);
  shard.release('a', 2_000);
  shard.release('b', 2_000);
  shard.release('c', 2_000);
  shard.send(report(1, 9_000), 9_100);
  shard.ask({ askId: 'd' }, 9_200);
  assert.deepEqual(shard.ask({ askId: 'e' }, 9_200), []);
});

test('requests with the same cached prefix are spread over several engines, none of which exceeds its slots', () => {
  const shard = createTestShard({ engines: 4, slots: 8 });
  const prefixBlocks = [11, 12, 13];
  const [first] = shard.ask({ askId: 'a', prefixBlocks });
  const [second] = shard.ask({ askId: 'b', prefixBlocks });
  assert.ok(first?.kind === DispatchActionKind.Grant && second?.kind === DispatchActionKind.Grant);
  const engines = new Set([first.upstream]);
  for (let number = 0; number < 12; number += 1) {
    const [action] = shard.ask({ askId: `n${number}`, prefixBlocks });
    if (action?.kind === DispatchActionKind.Grant) engines.add(action.upstream);
  }
  assert.ok(engines.size > 1, 'all requests were granted on one engine');
  const granted = shard.describe().upstreams.map((upstream) => upstream.granted);
  assert.ok(Math.max(...granted) <= 8);
});

test('a paused request does not make its engine a straggler', () => {
  const shard = createTestShard({ engines: 3, slots: 1 });
  for (const askId of ['f0', 'f1', 'f2']) shard.ask({ askId, className: 'history' });
  const report = (askId: string, tokens: number, nowMs: number) =>
    shard.send({ kind: DispatchEventKind.Progress, askId, tokens }, nowMs);
  for (let step = 1; step <= 10; step += 1)
    for (const askId of ['f0', 'f1', 'f2']) report(askId, step * 5, step * 100);
  const [pause] = shard.ask({ askId: 'paying' }, 1_000);
  assert.ok(pause?.kind === DispatchActionKind.Preempt);
  const others = ['f0', 'f1', 'f2'].filter((askId) => askId !== pause.askId);
  for (let step = 11; step <= 90; step += 1) {
    for (const askId of others) report(askId, step * 5, step * 100);
    shard.tick(step * 100);
  }
  shard.release('paying', 9_000);
  report(pause.askId, 55, 9_100);
  report(pause.askId, 60, 9_200);
  shard.tick(9_300);
  assert.ok(shard.describe().upstreams.every(({ health }) => health === 'healthy'));
});

test('no engine becomes a straggler when the process of the dispatcher was suspended', () => {
  const shard = createTestShard({ engines: 3, slots: 1 });
  for (const askId of ['f0', 'f1', 'f2']) shard.ask({ askId });
  for (let step = 1; step <= 10; step += 1) {
    for (const askId of ['f0', 'f1', 'f2'])
      shard.send({ kind: DispatchEventKind.Progress, askId, tokens: step * 5 }, step * 100);
  }
  shard.tick(30_000);
  assert.ok(shard.describe().upstreams.every(({ health }) => health === 'healthy'));
});

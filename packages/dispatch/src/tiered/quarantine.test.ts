import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, toBranded } from '@sardinegrade/common';

import { DispatchActionKind, DispatchEventKind, ReleaseReason } from '../enums.js';
import {
  buildLostEvent,
  buildProbedEvent,
  createTestShard,
  findRefusal,
  describeActions,
} from '../testing/index.js';

test('a request is quarantined after it crashed two engines, and its copies are refused', () => {
  const shard = createTestShard({ engines: 3, slots: 2 });
  shard.ask({ askId: 'p1', fingerprint: 'poison' });
  const first = shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  shard.release('p1', 100, ReleaseReason.UpstreamDied);
  shard.ask({ askId: 'p2', fingerprint: 'poison', isSuspect: true }, 100);
  assert.deepEqual(shard.ask({ askId: 'copy', fingerprint: 'poison' }, 110), []);
  shard.send(buildLostEvent(first), 120);
  shard.tick(2_500);
  const second = shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  assert.ok(second >= 0 && second !== first);
  const actions = shard.send(buildLostEvent(second), 2_600);
  assert.ok(actions.some((action) => action.kind === DispatchActionKind.Quarantine));
  const refusal = findRefusal(actions, 'copy');
  assert.ok(refusal?.kind === DispatchActionKind.Refuse);
  assert.equal(refusal.code, ResultCode.Quarantined);
  assert.deepEqual(describeActions(shard.ask({ askId: 'again', fingerprint: 'poison' }, 2_700)), [
    'refuse again',
  ]);
});

test('a suspect is cleared when it finishes', () => {
  const shard = createTestShard({ engines: 2, slots: 2 });
  shard.ask({ askId: 'i1', fingerprint: 'innocent', isSuspect: true });
  shard.release('i1', 100);
  shard.ask({ askId: 'i2', fingerprint: 'innocent' }, 200);
  const engine = shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  const actions = shard.send(buildLostEvent(engine), 300);
  assert.ok(!actions.some((action) => action.kind === DispatchActionKind.Quarantine));
});

test('at most one suspect runs on each engine', () => {
  const shard = createTestShard({ engines: 2, slots: 4 });
  for (const askId of ['s1', 's2', 's3']) shard.ask({ askId, isSuspect: true });
  assert.deepEqual(
    shard.describe().upstreams.map(({ granted }) => granted),
    [1, 1],
  );
  assert.deepEqual(describeActions(shard.release('s1', 100)), ['grant s3']);
});

test('a quarantine from another dispatcher cancels a running copy, and expires', () => {
  const shard = createTestShard({ engines: 1, slots: 2 });
  shard.ask({ askId: 'running', fingerprint: 'poison' });
  const event = {
    kind: DispatchEventKind.Quarantined,
    fingerprint: toBranded<never>('poison'),
    untilMs: 5_000,
  } as const;
  assert.deepEqual(describeActions(shard.send(event, 10)), ['preempt:cancel running']);
  assert.deepEqual(describeActions(shard.ask({ askId: 'b', fingerprint: 'poison' }, 20)), [
    'refuse b',
  ]);
  shard.tick(6_000);
  assert.deepEqual(describeActions(shard.ask({ askId: 'c', fingerprint: 'poison' }, 6_000)), [
    'grant c',
  ]);
});

test('a request is quarantined even if the crashed engines restart before they are probed', () => {
  const shard = createTestShard({ engines: 3, slots: 2 });
  const findRunning = () => shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  shard.ask({ askId: 'p1', fingerprint: 'poison' });
  const first = findRunning();
  shard.release('p1', 100, ReleaseReason.UpstreamDied);
  shard.ask({ askId: 'p2', fingerprint: 'poison', isSuspect: true }, 100);
  const second = findRunning();
  shard.send(buildProbedEvent(first), 150);
  shard.release('p2', 200, ReleaseReason.UpstreamDied);
  shard.send(buildProbedEvent(second), 250);
  assert.deepEqual(shard.ask({ askId: 'p3', fingerprint: 'poison', isSuspect: true }, 300), []);
  shard.tick(650);
  const actions = shard.tick(750);
  assert.ok(actions.some((action) => action.kind === DispatchActionKind.Quarantine));
  assert.ok(findRefusal(actions, 'p3'));
});

test('a failed connection does not make its request a suspect while other connections to the engine survive', () => {
  const shard = createTestShard({ engines: 1, slots: 3 });
  shard.ask({ askId: 'alive' });
  for (const number of [1, 2, 3]) {
    const atMs = number * 1_000;
    shard.ask({ askId: `b${number}`, fingerprint: 'innocent' }, atMs);
    shard.release(`b${number}`, atMs + 100, ReleaseReason.UpstreamDied);
    shard.send(buildProbedEvent(0), atMs + 110);
    const actions = shard.tick(atMs + 700);
    assert.ok(!actions.some((action) => action.kind === DispatchActionKind.Quarantine));
  }
  assert.equal(shard.describe().upstreams[0]?.granted, 1);
});

test('a cleared request does not become a suspect again because a daemon still reports it as one', () => {
  const shard = createTestShard({ engines: 1, slots: 4 });
  const claim = { fingerprint: 'innocent', isSuspect: true };
  shard.ask({ askId: 'a', ...claim });
  assert.deepEqual(shard.ask({ askId: 'b', ...claim }), []);
  assert.deepEqual(describeActions(shard.release('a', 100)), ['grant b']);
  shard.release('b', 200);
  assert.deepEqual(describeActions(shard.ask({ askId: 'c', ...claim }, 300)), ['grant c']);
  assert.deepEqual(describeActions(shard.ask({ askId: 'd', ...claim }, 300)), ['grant d']);
  const actions = shard.send(buildLostEvent(0), 400);
  assert.ok(!actions.some((action) => action.kind === DispatchActionKind.Quarantine));
});

import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, toBranded } from '@sardinegrade/common';

import { DispatchActionKind, DispatchEventKind, ReleaseReason } from '../enums.js';
import {
  buildLost,
  buildProbed,
  createTestShard,
  findRefusal,
  listKinds,
} from '../testing/index.js';

test('a second crash names the culprit, whose resends are refused; two engines are lost', () => {
  const shard = createTestShard({ engines: 3, slots: 2 });
  shard.ask({ askId: 'p1', fingerprint: 'poison' });
  const first = shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  shard.release('p1', 100, ReleaseReason.UpstreamDied);
  shard.ask({ askId: 'p2', fingerprint: 'poison', isSuspect: true }, 100);
  assert.deepEqual(shard.ask({ askId: 'copy', fingerprint: 'poison' }, 110), []);
  shard.send(buildLost(first), 120);
  shard.tick(2_500);
  const second = shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  assert.ok(second >= 0 && second !== first);
  const actions = shard.send(buildLost(second), 2_600);
  assert.ok(actions.some((action) => action.kind === DispatchActionKind.Quarantine));
  const refusal = findRefusal(actions, 'copy');
  assert.ok(refusal?.kind === DispatchActionKind.Refuse);
  assert.equal(refusal.code, ResultCode.Quarantined);
  assert.deepEqual(listKinds(shard.ask({ askId: 'again', fingerprint: 'poison' }, 2_700)), [
    'refuse again',
  ]);
});

test('an innocent suspect is cleared by a whole answer', () => {
  const shard = createTestShard({ engines: 2, slots: 2 });
  shard.ask({ askId: 'i1', fingerprint: 'innocent', isSuspect: true });
  shard.release('i1', 100);
  shard.ask({ askId: 'i2', fingerprint: 'innocent' }, 200);
  const engine = shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  const actions = shard.send(buildLost(engine), 300);
  assert.ok(!actions.some((action) => action.kind === DispatchActionKind.Quarantine));
});

test('suspects of one crash run on engines of their own', () => {
  const shard = createTestShard({ engines: 2, slots: 4 });
  for (const askId of ['s1', 's2', 's3']) shard.ask({ askId, isSuspect: true });
  assert.deepEqual(
    shard.describe().upstreams.map(({ granted }) => granted),
    [1, 1],
  );
  assert.deepEqual(listKinds(shard.release('s1', 100)), ['grant s3']);
});

test('a quarantine that comes from elsewhere cancels a running copy and expires', () => {
  const shard = createTestShard({ engines: 1, slots: 2 });
  shard.ask({ askId: 'running', fingerprint: 'poison' });
  const event = {
    kind: DispatchEventKind.Quarantined,
    fingerprint: toBranded<never>('poison'),
    untilMs: 5_000,
  } as const;
  assert.deepEqual(listKinds(shard.send(event, 10)), ['preempt:cancel running']);
  assert.deepEqual(listKinds(shard.ask({ askId: 'b', fingerprint: 'poison' }, 20)), ['refuse b']);
  shard.tick(6_000);
  assert.deepEqual(listKinds(shard.ask({ askId: 'c', fingerprint: 'poison' }, 6_000)), ['grant c']);
});

test('a culprit is named though its engines are up again before they are probed', () => {
  const shard = createTestShard({ engines: 3, slots: 2 });
  const findRunning = () => shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  shard.ask({ askId: 'p1', fingerprint: 'poison' });
  const first = findRunning();
  shard.release('p1', 100, ReleaseReason.UpstreamDied);
  shard.ask({ askId: 'p2', fingerprint: 'poison', isSuspect: true }, 100);
  const second = findRunning();
  shard.send(buildProbed(first), 150);
  shard.release('p2', 200, ReleaseReason.UpstreamDied);
  shard.send(buildProbed(second), 250);
  assert.deepEqual(shard.ask({ askId: 'p3', fingerprint: 'poison', isSuspect: true }, 300), []);
  shard.tick(650);
  const actions = shard.tick(750);
  assert.ok(actions.some((action) => action.kind === DispatchActionKind.Quarantine));
  assert.ok(findRefusal(actions, 'p3'));
});

test('a broken connection beside others that live makes no suspect', () => {
  const shard = createTestShard({ engines: 1, slots: 3 });
  shard.ask({ askId: 'alive' });
  for (const number of [1, 2, 3]) {
    const atMs = number * 1_000;
    shard.ask({ askId: `b${number}`, fingerprint: 'innocent' }, atMs);
    shard.release(`b${number}`, atMs + 100, ReleaseReason.UpstreamDied);
    shard.send(buildProbed(0), atMs + 110);
    const actions = shard.tick(atMs + 700);
    assert.ok(!actions.some((action) => action.kind === DispatchActionKind.Quarantine));
  }
  assert.equal(shard.describe().upstreams[0]?.granted, 1);
});

test('a request that a whole answer has cleared is no suspect because a daemon still says so', () => {
  const shard = createTestShard({ engines: 1, slots: 4 });
  const claim = { fingerprint: 'innocent', isSuspect: true };
  shard.ask({ askId: 'a', ...claim });
  assert.deepEqual(shard.ask({ askId: 'b', ...claim }), []);
  assert.deepEqual(listKinds(shard.release('a', 100)), ['grant b']);
  shard.release('b', 200);
  assert.deepEqual(listKinds(shard.ask({ askId: 'c', ...claim }, 300)), ['grant c']);
  assert.deepEqual(listKinds(shard.ask({ askId: 'd', ...claim }, 300)), ['grant d']);
  const actions = shard.send(buildLost(0), 400);
  assert.ok(!actions.some((action) => action.kind === DispatchActionKind.Quarantine));
});

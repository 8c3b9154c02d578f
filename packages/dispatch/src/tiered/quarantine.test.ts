import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, toBranded } from '@sardinegrade/common';

import { DispatchActionKind, DispatchEventKind, ReleaseReason } from '../enums.js';
import { buildLost, createTestShard, findRefusal, listKinds } from '../testing/index.js';

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

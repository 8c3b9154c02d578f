import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, Tier, toBranded } from '@sardinegrade/common';

import { createDispatcher } from '../createDispatcher.js';
import { DispatchActionKind, DispatchEventKind, DispatchPolicy, PreemptionMode } from '../enums.js';
import { createRandomSource } from '../random.js';
import {
  buildAsk,
  buildConfiguredEvent,
  createTestShard,
  findRefusal,
  describeActions,
  toAskEvent,
  toEngineId,
} from '../testing/index.js';

test('a paying request pauses a free one at once, which resumes when a slot is free', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'free', className: 'history' });
  assert.deepEqual(describeActions(shard.ask({ askId: 'paying' })), [
    'preempt:pause free',
    'grant paying',
  ]);
  assert.deepEqual(describeActions(shard.release('paying', 1_000)), ['preempt:resume free']);
});

test('the preempted request is of the lowest tier, and has the least work done in it', () => {
  const classes = [
    { name: toBranded<never>('query'), tier: Tier.Paying },
    { name: toBranded<never>('trial'), tier: Tier.Trial },
    { name: toBranded<never>('history'), tier: Tier.Free },
  ];
  const shard = createTestShard({ engines: 1, slots: 3, classes });
  shard.ask({ askId: 'trial', className: 'trial' });
  shard.ask({ askId: 'old', className: 'history' });
  shard.ask({ askId: 'young', className: 'history' });
  shard.send({ kind: DispatchEventKind.Progress, askId: 'old', tokens: 50 }, 100);
  shard.send({ kind: DispatchEventKind.Progress, askId: 'young', tokens: 5 }, 100);
  assert.equal(describeActions(shard.ask({ askId: 'paying' }, 200))[0], 'preempt:pause young');
});

test('a request is cancelled instead of paused when the cache of its engine is full', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'free', className: 'history' });
  const report = {
    upstream: toEngineId(0),
    atMs: 10,
    running: 1,
    queued: 0,
    cacheUse: 0.95,
    tokenIntervalMs: 20,
    isLeaving: false,
  };
  shard.send({ kind: DispatchEventKind.LoadReport, report }, 20);
  assert.equal(describeActions(shard.ask({ askId: 'paying' }, 30))[0], 'preempt:cancel free');
});

test('every class is eventually served, regardless of how many paying requests wait', () => {
  const shard = createTestShard({
    engines: 1,
    slots: 1,
    classes: [{ name: toBranded('query') }, { name: toBranded('history'), tier: Tier.Free }],
  });
  shard.ask({ askId: 'paying-0', deadlineAtMs: 1e9 });
  shard.ask({ askId: 'free', className: 'history', deadlineAtMs: 1e9 });
  for (let number = 1; number < 400; number += 1) {
    shard.ask({ askId: `paying-${number}`, deadlineAtMs: 1e9 }, number * 100);
    const actions = shard.release(`paying-${number - 1}`, number * 100 + 50);
    if (describeActions(actions).includes('grant free')) return;
  }
  assert.fail('the free request was never granted');
});

test('a full queue refuses a waiting request of a lower tier in favour of a higher one', () => {
  const classes = [
    { name: toBranded<never>('query'), queueLimit: 1 },
    { name: toBranded<never>('report'), priority: 1, queueLimit: 8 },
    { name: toBranded<never>('history'), tier: Tier.Free, queueLimit: 8 },
  ];
  const shard = createTestShard({ engines: 1, slots: 1, classes });
  shard.ask({ askId: 'running', className: 'report' });
  shard.ask({ askId: 'free-1', className: 'history' });
  shard.ask({ askId: 'free-2', className: 'history' });
  shard.ask({ askId: 'query-1' });
  const actions = shard.ask({ askId: 'query-2' });
  assert.deepEqual(describeActions(actions), ['refuse free-2']);
  assert.ok(findRefusal(actions, 'free-2'));
});

test('a full paying queue grants its oldest request by preempting a free one with a guaranteed share', () => {
  const classes = [
    { name: toBranded<never>('query'), queueLimit: 1 },
    { name: toBranded<never>('history'), tier: Tier.Free, minimumShare: 0.5 },
  ];
  const shard = createTestShard({ engines: 1, slots: 1, classes });
  for (let number = 0; number < 4; number += 1) {
    shard.ask({ askId: `query-${number}` });
    shard.ask({ askId: `free-${number}`, className: 'history' });
    if (describeActions(shard.release(`query-${number}`)).includes(`grant free-${number}`)) break;
  }
  const running = shard.describe().upstreams[0]?.granted;
  assert.equal(running, 1);
  shard.ask({ askId: 'next-1' });
  assert.equal(describeActions(shard.ask({ askId: 'next-2' })).at(-1), 'grant next-1');
});

test('a request that can no longer start in time is refused as not run, with a retry delay', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'running' });
  shard.ask({ askId: 'late', deadlineAtMs: 500 });
  const refusal = findRefusal(shard.tick(450), 'late');
  assert.ok(refusal?.kind === DispatchActionKind.Refuse);
  assert.equal(refusal.code, ResultCode.DeadlineBeforeStart);
  assert.ok((refusal.retryAfterMs ?? 0) > 0);
});

test('under overload, requests of a lower tier are refused at once and paying ones are queued', () => {
  const shard = createTestShard({
    engines: 1,
    slots: 1,
    classes: [{ name: toBranded('query') }, { name: toBranded('history'), tier: Tier.Free }],
  });
  shard.ask({ askId: 'first' }, 0);
  shard.release('first', 10_000);
  shard.ask({ askId: 'running' }, 10_000);
  for (let number = 0; number < 3; number += 1)
    shard.ask({ askId: `paying-${number}`, deadlineAtMs: 70_000 }, 10_000);
  const actions = shard.ask({ askId: 'free', className: 'history', deadlineAtMs: 40_000 }, 10_000);
  const refusal = findRefusal(actions, 'free');
  assert.ok(refusal?.kind === DispatchActionKind.Refuse);
  assert.equal(refusal.code, ResultCode.Overloaded);
  assert.equal(shard.describe().queuedByClass['counter/query'], 3);
});

test('a grant that is registered after a fail-over occupies a slot and is not granted again', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  const held = { askId: 'held', heldUpstream: toEngineId(0) };
  assert.deepEqual(shard.ask(held), []);
  assert.deepEqual(shard.ask(held), []);
  assert.equal(shard.describe().upstreams[0]?.granted, 1);
  assert.deepEqual(shard.ask({ askId: 'next' }), []);
  assert.deepEqual(describeActions(shard.release('held', 10)), ['grant next']);
  assert.deepEqual(shard.release('held', 20), []);
  assert.equal(shard.describe().upstreams[0]?.granted, 1);
});

test('a repeated ask is answered as before, and a delayed release is ignored', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  const first = shard.ask({ askId: 'a' });
  assert.deepEqual(shard.ask({ askId: 'a' }), first);
  shard.release('a', 10);
  assert.deepEqual(shard.release('a', 20), []);
  assert.deepEqual(shard.ask({ askId: 'a' }, 30), []);
  assert.equal(shard.describe().upstreams[0]?.granted, 0);
});

test('the waiting requests and grants of a lost daemon are removed', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'running' });
  shard.ask({ askId: 'waiting' });
  shard.send({ kind: DispatchEventKind.VmLost, vm: toBranded('vm-1') }, 10);
  assert.equal(shard.describe().upstreams[0]?.granted, 0);
  assert.equal(shard.describe().queuedByClass['counter/query'], 0);
});

test('requests are only cancelled, never paused, when the tuning says so', () => {
  const dispatcher = createDispatcher({
    policy: DispatchPolicy.Tiered,
    random: createRandomSource(1),
    tuning: { preemption: PreemptionMode.Cancel },
  });
  dispatcher.handle(buildConfiguredEvent({ engines: 1, slots: 1 }), 0);
  dispatcher.handle(toAskEvent(buildAsk({ askId: 'free', className: 'history' })), 0);
  const actions = dispatcher.handle(toAskEvent(buildAsk({ askId: 'paying' })), 0);
  assert.deepEqual(describeActions(actions), ['preempt:cancel free', 'grant paying']);
});

test('a withdrawn request is accepted again when its daemon sends it again', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'running' });
  shard.ask({ askId: 'waiting' });
  for (const askId of ['running', 'waiting'])
    shard.send({ kind: DispatchEventKind.Withdraw, askId }, 10);
  shard.ask({ askId: 'running', heldUpstream: toEngineId(0) }, 20);
  assert.deepEqual(shard.ask({ askId: 'waiting' }, 20), []);
  assert.deepEqual(describeActions(shard.release('running', 30)), ['grant waiting']);
});

test('a waiting paying request is not refused while a request of a lower tier runs', () => {
  const classes = [
    { name: toBranded<never>('urgent'), tier: Tier.Premium, queueLimit: 1 },
    { name: toBranded<never>('query'), queueLimit: 8 },
    { name: toBranded<never>('history'), tier: Tier.Free, minimumShare: 0.9 },
  ];
  const shard = createTestShard({ engines: 1, slots: 2, classes });
  shard.ask({ askId: 'urgent-0', className: 'urgent' });
  shard.ask({ askId: 'urgent-1', className: 'urgent' });
  shard.ask({ askId: 'free', className: 'history' });
  shard.release('urgent-0');
  shard.ask({ askId: 'query-0' });
  shard.ask({ askId: 'query-1' });
  shard.ask({ askId: 'urgent-2', className: 'urgent' });
  const actions = describeActions(shard.ask({ askId: 'urgent-3', className: 'urgent' }));
  assert.ok(!actions.some((action) => action.startsWith('refuse')), actions.join());
});

test('a paused request is cancelled and never resumed after its deadline', () => {
  const shard = createTestShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'free', className: 'history', deadlineAtMs: 500 });
  shard.ask({ askId: 'paying' });
  assert.deepEqual(shard.release('paying', 600), []);
  assert.deepEqual(describeActions(shard.tick(700)), ['preempt:cancel free']);
});

test('an answer to resume is served before new requests of its class and is not refused in their place', () => {
  const classes = [{ name: toBranded<never>('query'), queueLimit: 2 }];
  const shard = createTestShard({ engines: 1, slots: 1, classes });
  shard.ask({ askId: 'running' });
  shard.ask({ askId: 'new-1' });
  shard.ask({ askId: 'new-2' });
  const actions = shard.ask({ askId: 'resumed', resumeAt: 40, attempt: 2 });
  assert.deepEqual(describeActions(actions), ['refuse new-2']);
  assert.deepEqual(describeActions(shard.release('running', 100)), ['grant resumed']);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, Tier, toBranded } from '@sardinegrade/common';

import { createDispatcher } from '../createDispatcher.js';
import {
  DispatchActionKind,
  DispatchEventKind,
  DispatchPolicy,
  PreemptionMode,
  ReleaseReason,
} from '../enums.js';
import { createRandomSource } from '../random.js';
import {
  buildAsk,
  buildConfigured,
  toAskEvent,
  toEngineId,
  toReleaseEvent,
} from '../testing/index.js';

import type { AskShape, ConfigurationShape } from '../testing/index.js';
import type { DispatchAction, DispatchEvent } from '../types.js';

const createShard = (shape: ConfigurationShape) => {
  const dispatcher = createDispatcher({
    policy: DispatchPolicy.Tiered,
    random: createRandomSource(1),
  });
  const send = (event: DispatchEvent, nowMs = 0) => dispatcher.handle(event, nowMs);
  send(buildConfigured(shape));
  const ask = (askShape: AskShape, nowMs = 0) => send(toAskEvent(buildAsk(askShape)), nowMs);
  const release = (askId: string, nowMs = 0, reason = ReleaseReason.Finished) =>
    send(toReleaseEvent(askId, reason, { tokens: 100, tokenIntervalMs: 20 }), nowMs);
  const tick = (nowMs: number) => send({ kind: DispatchEventKind.Tick }, nowMs);
  return { ask, release, send, tick, describe: dispatcher.describe };
};

const listKinds = (actions: readonly DispatchAction[]) =>
  actions.map((action) => {
    const target = 'askId' in action ? action.askId : '';
    const mode = action.kind === DispatchActionKind.Preempt ? `:${action.mode}` : '';
    return `${action.kind}${mode} ${target}`.trim();
  });

const findRefusal = (actions: readonly DispatchAction[], askId: string) =>
  actions.find((action) => action.kind === DispatchActionKind.Refuse && action.askId === askId);

const buildLost = (index: number): DispatchEvent => ({
  kind: DispatchEventKind.UpstreamLost,
  upstream: toEngineId(index),
});

const buildProbed = (index: number, isHealthy = true): DispatchEvent => ({
  kind: DispatchEventKind.UpstreamProbed,
  upstream: toEngineId(index),
  isHealthy,
});

test('a paying ask pauses a free request at once, which resumes when room returns', () => {
  const shard = createShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'free', className: 'history' });
  assert.deepEqual(listKinds(shard.ask({ askId: 'paying' })), [
    'preempt:pause free',
    'grant paying',
  ]);
  assert.deepEqual(listKinds(shard.release('paying', 1_000)), ['preempt:resume free']);
});

test('the victim is of the lowest tier, then the one with the least work done', () => {
  const classes = [
    { name: toBranded<never>('query'), tier: Tier.Paying },
    { name: toBranded<never>('trial'), tier: Tier.Trial },
    { name: toBranded<never>('history'), tier: Tier.Free },
  ];
  const shard = createShard({ engines: 1, slots: 3, classes });
  shard.ask({ askId: 'trial', className: 'trial' });
  shard.ask({ askId: 'old', className: 'history' });
  shard.ask({ askId: 'young', className: 'history' });
  shard.send({ kind: DispatchEventKind.Progress, askId: 'old', tokens: 50 }, 100);
  shard.send({ kind: DispatchEventKind.Progress, askId: 'young', tokens: 5 }, 100);
  assert.equal(listKinds(shard.ask({ askId: 'paying' }, 200))[0], 'preempt:pause young');
});

test('an engine whose cache is full loses a request instead of pausing it', () => {
  const shard = createShard({ engines: 1, slots: 1 });
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
  assert.equal(listKinds(shard.ask({ askId: 'paying' }, 30))[0], 'preempt:cancel free');
});

test('every class is eventually served, however many paying asks wait', () => {
  const shard = createShard({
    engines: 1,
    slots: 1,
    classes: [{ name: toBranded('query') }, { name: toBranded('history'), tier: Tier.Free }],
  });
  shard.ask({ askId: 'paying-0', deadlineAtMs: 1e9 });
  shard.ask({ askId: 'free', className: 'history', deadlineAtMs: 1e9 });
  for (let number = 1; number < 400; number += 1) {
    shard.ask({ askId: `paying-${number}`, deadlineAtMs: 1e9 }, number * 100);
    const actions = shard.release(`paying-${number - 1}`, number * 100 + 50);
    if (listKinds(actions).includes('grant free')) return;
  }
  assert.fail('the free ask was never served');
});

test('a full queue gives the place of a waiting lower tier to a higher one', () => {
  const classes = [
    { name: toBranded<never>('query'), queueLimit: 1 },
    { name: toBranded<never>('report'), priority: 1, queueLimit: 8 },
    { name: toBranded<never>('history'), tier: Tier.Free, queueLimit: 8 },
  ];
  const shard = createShard({ engines: 1, slots: 1, classes });
  shard.ask({ askId: 'running', className: 'report' });
  shard.ask({ askId: 'free-1', className: 'history' });
  shard.ask({ askId: 'free-2', className: 'history' });
  shard.ask({ askId: 'query-1' });
  const actions = shard.ask({ askId: 'query-2' });
  assert.deepEqual(listKinds(actions), ['refuse free-2']);
  assert.ok(findRefusal(actions, 'free-2'));
});

test('a full paying queue lets its oldest ask in where a guaranteed free request runs', () => {
  const classes = [
    { name: toBranded<never>('query'), queueLimit: 1 },
    { name: toBranded<never>('history'), tier: Tier.Free, minimumShare: 0.5 },
  ];
  const shard = createShard({ engines: 1, slots: 1, classes });
  for (let number = 0; number < 4; number += 1) {
    shard.ask({ askId: `query-${number}` });
    shard.ask({ askId: `free-${number}`, className: 'history' });
    if (listKinds(shard.release(`query-${number}`)).includes(`grant free-${number}`)) break;
  }
  const running = shard.describe().upstreams[0]?.granted;
  assert.equal(running, 1);
  shard.ask({ askId: 'next-1' });
  assert.equal(listKinds(shard.ask({ askId: 'next-2' })).at(-1), 'grant next-1');
});

test('an ask that can no longer start in time is refused as not run, with a time to come back', () => {
  const shard = createShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'running' });
  shard.ask({ askId: 'late', deadlineAtMs: 500 });
  const refusal = findRefusal(shard.tick(450), 'late');
  assert.ok(refusal?.kind === DispatchActionKind.Refuse);
  assert.equal(refusal.code, ResultCode.DeadlineBeforeStart);
  assert.ok((refusal.retryAfterMs ?? 0) > 0);
});

test('under overload the lower tier is refused at once and the paying one queued', () => {
  const shard = createShard({
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

test('a leaving engine gets nothing new, not even after it was lost and a probe passed', () => {
  const shard = createShard({ engines: 1, slots: 2 });
  shard.ask({ askId: 'running' });
  shard.send({ kind: DispatchEventKind.UpstreamLeaving, upstream: toEngineId(0) }, 10);
  assert.deepEqual(listKinds(shard.ask({ askId: 'next' }, 10)), ['refuse next']);
  shard.send(buildLost(0), 20);
  shard.send(buildProbed(0), 30);
  assert.deepEqual(listKinds(shard.ask({ askId: 'later' }, 40)), ['refuse later']);
});

test('a leaving engine that left the shard and came back is still leaving', () => {
  const shard = createShard({ engines: 1, slots: 2 });
  shard.send({ kind: DispatchEventKind.UpstreamLeaving, upstream: toEngineId(0) }, 10);
  const configured = buildConfigured({ engines: 1, slots: 2 });
  assert.ok(configured.kind === DispatchEventKind.Configured);
  shard.send({ ...configured, upstreams: [] }, 20);
  shard.send(configured, 30);
  assert.deepEqual(listKinds(shard.ask({ askId: 'next' }, 40)), ['refuse next']);
});

test('a grant registered after a fail-over is accounted and not granted again', () => {
  const shard = createShard({ engines: 1, slots: 1 });
  const held = { askId: 'held', heldUpstream: toEngineId(0) };
  assert.deepEqual(shard.ask(held), []);
  assert.deepEqual(shard.ask(held), []);
  assert.equal(shard.describe().upstreams[0]?.granted, 1);
  assert.deepEqual(shard.ask({ askId: 'next' }), []);
  assert.deepEqual(listKinds(shard.release('held', 10)), ['grant next']);
  assert.deepEqual(shard.release('held', 20), []);
  assert.equal(shard.describe().upstreams[0]?.granted, 1);
});

test('an engine overfull after a fail-over is brought below its slots before it gets a paying ask', () => {
  const shard = createShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'paying-1' });
  shard.ask({ askId: 'held', className: 'history', heldUpstream: toEngineId(0) });
  assert.deepEqual(listKinds(shard.ask({ askId: 'paying-2' }, 400)), ['preempt:pause held']);
  assert.deepEqual(listKinds(shard.release('paying-1', 500)), ['grant paying-2']);
});

test('a repeated ask gets the same answer again, a late release changes nothing', () => {
  const shard = createShard({ engines: 1, slots: 1 });
  const first = shard.ask({ askId: 'a' });
  assert.deepEqual(shard.ask({ askId: 'a' }), first);
  shard.release('a', 10);
  assert.deepEqual(shard.release('a', 20), []);
  assert.deepEqual(shard.ask({ askId: 'a' }, 30), []);
  assert.equal(shard.describe().upstreams[0]?.granted, 0);
});

test('a second crash names the culprit, whose resends are refused; two engines are lost', () => {
  const shard = createShard({ engines: 3, slots: 2 });
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
  const shard = createShard({ engines: 2, slots: 2 });
  shard.ask({ askId: 'i1', fingerprint: 'innocent', isSuspect: true });
  shard.release('i1', 100);
  shard.ask({ askId: 'i2', fingerprint: 'innocent' }, 200);
  const engine = shard.describe().upstreams.findIndex(({ granted }) => granted === 1);
  const actions = shard.send(buildLost(engine), 300);
  assert.ok(!actions.some((action) => action.kind === DispatchActionKind.Quarantine));
});

test('suspects of one crash run on engines of their own', () => {
  const shard = createShard({ engines: 2, slots: 4 });
  for (const askId of ['s1', 's2', 's3']) shard.ask({ askId, isSuspect: true });
  assert.deepEqual(
    shard.describe().upstreams.map(({ granted }) => granted),
    [1, 1],
  );
  assert.deepEqual(listKinds(shard.release('s1', 100)), ['grant s3']);
});

test('a quarantine that comes from elsewhere cancels a running copy and expires', () => {
  const shard = createShard({ engines: 1, slots: 2 });
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

test('a straggler gets less work, then none, then a probe, then work again', () => {
  const shard = createShard({ engines: 3, slots: 4 });
  for (let number = 0; number < 9; number += 1) shard.ask({ askId: `a${number}` });
  const intervals = [20, 20, 200];
  let nowMs = 0;
  const upstreamOf = new Map<string, number>();
  const probe2 = createShard({ engines: 3, slots: 4 });
  for (let number = 0; number < 9; number += 1) {
    for (const action of probe2.ask({ askId: `a${number}` })) {
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
  shard.send(buildProbed(2), nowMs + 10);
  assert.equal(listHealth()[2], 'reduced');
});

test('a report never lowers the account of own grants, and shows the load of others', () => {
  const shard = createShard({ engines: 1, slots: 2 });
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

test('a prompt goes where its prefix is cached while that engine is not overloaded', () => {
  const shard = createShard({ engines: 4, slots: 8 });
  const prefixBlocks = [11, 12, 13];
  const [first] = shard.ask({ askId: 'a', prefixBlocks });
  const [second] = shard.ask({ askId: 'b', prefixBlocks });
  assert.ok(first?.kind === DispatchActionKind.Grant && second?.kind === DispatchActionKind.Grant);
  const engines = new Set([first.upstream]);
  for (let number = 0; number < 12; number += 1) {
    const [action] = shard.ask({ askId: `n${number}`, prefixBlocks });
    if (action?.kind === DispatchActionKind.Grant) engines.add(action.upstream);
  }
  assert.ok(engines.size > 1, 'all went to one engine');
  const granted = shard.describe().upstreams.map((upstream) => upstream.granted);
  assert.ok(Math.max(...granted) <= 8);
});

test('a lost daemon leaves no waiting asks and no accounted grants behind', () => {
  const shard = createShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'running' });
  shard.ask({ askId: 'waiting' });
  shard.send({ kind: DispatchEventKind.VmLost, vm: toBranded('vm-1') }, 10);
  assert.equal(shard.describe().upstreams[0]?.granted, 0);
  assert.equal(shard.describe().queuedByClass['counter/query'], 0);
});

test('cancel is the only mode of a shard tuned so', () => {
  const dispatcher = createDispatcher({
    policy: DispatchPolicy.Tiered,
    random: createRandomSource(1),
    tuning: { preemption: PreemptionMode.Cancel },
  });
  dispatcher.handle(buildConfigured({ engines: 1, slots: 1 }), 0);
  dispatcher.handle(toAskEvent(buildAsk({ askId: 'free', className: 'history' })), 0);
  const actions = dispatcher.handle(toAskEvent(buildAsk({ askId: 'paying' })), 0);
  assert.deepEqual(listKinds(actions), ['preempt:cancel free', 'grant paying']);
});

test('an ask that its daemon took elsewhere and brings back is taken anew', () => {
  const shard = createShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'running' });
  shard.ask({ askId: 'waiting' });
  for (const askId of ['running', 'waiting'])
    shard.send({ kind: DispatchEventKind.Withdraw, askId }, 10);
  shard.ask({ askId: 'running', heldUpstream: toEngineId(0) }, 20);
  assert.deepEqual(shard.ask({ askId: 'waiting' }, 20), []);
  assert.deepEqual(listKinds(shard.release('running', 30)), ['grant waiting']);
});

test('a paying ask is not displaced from its queue while a lower tier runs', () => {
  const classes = [
    { name: toBranded<never>('urgent'), tier: Tier.Premium, queueLimit: 1 },
    { name: toBranded<never>('query'), queueLimit: 8 },
    { name: toBranded<never>('history'), tier: Tier.Free, minimumShare: 0.9 },
  ];
  const shard = createShard({ engines: 1, slots: 2, classes });
  shard.ask({ askId: 'urgent-0', className: 'urgent' });
  shard.ask({ askId: 'urgent-1', className: 'urgent' });
  shard.ask({ askId: 'free', className: 'history' });
  shard.release('urgent-0');
  shard.ask({ askId: 'query-0' });
  shard.ask({ askId: 'query-1' });
  shard.ask({ askId: 'urgent-2', className: 'urgent' });
  const actions = listKinds(shard.ask({ askId: 'urgent-3', className: 'urgent' }));
  assert.ok(!actions.some((action) => action.startsWith('refuse')), actions.join());
});

test('a paused request whose deadline has passed is cancelled and never resumed', () => {
  const shard = createShard({ engines: 1, slots: 1 });
  shard.ask({ askId: 'free', className: 'history', deadlineAtMs: 500 });
  shard.ask({ askId: 'paying' });
  assert.deepEqual(shard.release('paying', 600), []);
  assert.deepEqual(listKinds(shard.tick(700)), ['preempt:cancel free']);
});

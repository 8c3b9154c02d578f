import assert from 'node:assert/strict';
import { test } from 'node:test';

import { parseDurationMs, rankByRendezvous, ResultCode, Tier } from '@sardinegrade/common';
import { DispatchActionKind, DispatchPolicy, ReleaseReason } from '@sardinegrade/dispatch';
import { parseConfiguration } from '@sardinegrade/fleet';

import { DispatchHost } from './DispatchHost.js';
import { GrantBroker } from './GrantBroker.js';

import type { TestContext } from 'node:test';
import type {
  ClassName,
  DataCentreName,
  Fingerprint,
  PoolName,
  RequestId,
  ServiceName,
  UpstreamId,
  VmId,
  WorkspaceName,
} from '@sardinegrade/common';
import type { DispatchAction, GrantRequest } from '@sardinegrade/dispatch';
import type { EngineClient } from '@sardinegrade/upstream';
import type { GrantRequestDetails, DispatcherConnectionListener } from './types.js';

// The last VM in the rendezvous order of the tested shard, so that all other VMs are preferred to it.
const SELF = 'vm-2' as VmId;
const DATA_CENTRE = 'dc-a' as DataCentreName;
const POOL = 'drill' as PoolName;
const ENGINE = 'engine-1' as UpstreamId;
const VMS = ['vm-0', 'vm-1', 'vm-2', 'vm-3'] as VmId[];
const NOW_MS = 1_000_000;

const CONFIGURATION_TEXT = `
[service.counter]
kind = model
model = drill-7b
pool = ${POOL}
default_class = query
[service.counter.class.query]
tier = paying
[workspace.desk]
key_sha256[] = ${'0'.repeat(64)}
[upstream.${ENGINE}]
pool = ${POOL}
data_centre = ${DATA_CENTRE}
address = http://127.0.0.1:1
slots = 4
[upstream.engine-2]
pool = ${POOL}
data_centre = dc-b
address = http://127.0.0.1:2
slots = 4
`;

const buildDetails = (askId: string): GrantRequestDetails => ({
  askId,
  requestId: 'r-1' as RequestId,
  service: 'counter' as ServiceName,
  className: 'query' as ClassName,
  workspace: 'desk' as WorkspaceName,
  arrivedAtMs: NOW_MS,
  deadlineAtMs: NOW_MS + (parseDurationMs('1m') ?? 0),
  promptTokens: 10,
  maxTokens: 10,
  prefixBlocks: [],
  fingerprint: 'f' as Fingerprint,
  resumeAt: 0,
  excludedUpstreams: [],
  attempt: 1,
  isSuspect: false,
});

interface FakeSession {
  readonly asks: GrantRequest[];
  readonly withdrawn: string[];
  readonly released: string[];
  readonly listener: DispatcherConnectionListener;
}

const getZero = (): number => 0;

/** Builds a broker with fake sessions to other daemons; also returns the members and their rendezvous order. */
const buildBroker = (t: TestContext) => {
  const sessions = new Map<VmId, FakeSession>();
  const engines = {
    readLoad: () => Promise.reject(new Error('no engine')),
    readCacheEvents: () => Promise.reject(new Error('no engine')),
  } as unknown as EngineClient;
  const clock = { getNowMs: () => NOW_MS };
  const host = new DispatchHost({
    policy: DispatchPolicy.Naive,
    clock,
    random: getZero,
    engines,
    onQuarantine: () => undefined,
    listKnownEvents: () => [],
    onProbe: () => undefined,
  });
  const broker = new GrantBroker({
    vm: SELF,
    dataCentre: DATA_CENTRE,
    shardSize: 8,
    clock,
    random: getZero,
    host,
    openSession: ({ vm }, listener) => {
      const session: FakeSession = { asks: [], withdrawn: [], released: [], listener };
      sessions.set(vm, session);
      return {
        requestGrant: (_shard, ask) => session.asks.push(ask),
        withdraw: (askId) => session.withdrawn.push(askId),
        release: ({ askId }) => session.released.push(askId),
        reportProgress: () => undefined,
        close: () => undefined,
      };
    },
  });
  t.after(host.stop);
  const members = VMS.map((vm) => ({ vm, dataCentre: DATA_CENTRE, address: `${vm}:1` }));
  broker.updateMembers(members);
  broker.applyConfiguration(parseConfiguration(CONFIGURATION_TEXT, 1));
  const order = rankByRendezvous(`${POOL}/${DATA_CENTRE}/0`, VMS);
  return { broker, sessions, members, order };
};

const grant = (askId: string): DispatchAction => ({
  kind: DispatchActionKind.Grant,
  askId,
  upstream: ENGINE,
  priority: 0,
});

const startRequest = (broker: GrantBroker, askId: string) => {
  const granted: UpstreamId[] = [];
  const refused: ResultCode[] = [];
  const ticket = broker.requestGrant({ pool: POOL, tier: Tier.Paying }, buildDetails(askId), {
    onGrant: (upstream) => granted.push(upstream),
    onRefuse: (code) => refused.push(code),
    onPreempt: () => undefined,
  });
  return { ticket, granted, refused };
};

const getSession = (sessions: Map<VmId, FakeSession>, vm: VmId | undefined): FakeSession => {
  const session = vm === undefined ? undefined : sessions.get(vm);
  assert.ok(session, `no session with ${vm ?? 'nobody'}`);
  return session;
};

const listOthers = (order: readonly VmId[]): readonly [VmId, VmId, VmId] => {
  const [first, second, third] = order;
  assert.ok(first !== undefined && second !== undefined && third !== undefined);
  assert.equal(order[3], SELF);
  return [first, second, third];
};

test('a queued request moves to the next dispatcher when the session with the first is lost', (t) => {
  const { broker, sessions, order } = buildBroker(t);
  const [first, second] = listOthers(order);
  const { granted } = startRequest(broker, 'a');
  getSession(sessions, first).listener.onDisconnect(first);
  const next = getSession(sessions, second);
  assert.equal(next.asks[0]?.askId, 'a');
  assert.equal(next.asks[0].arrivedAtMs, NOW_MS);
  next.listener.onActions(second, [grant('a')]);
  assert.deepEqual(granted, [ENGINE]);
});

test('a late grant of a dispatcher whose session was lost is not used', (t) => {
  const { broker, sessions, order } = buildBroker(t);
  const [first, second] = listOthers(order);
  const { granted } = startRequest(broker, 'a');
  const disconnected = getSession(sessions, first);
  disconnected.listener.onDisconnect(first);
  disconnected.listener.onActions(first, [grant('a')]);
  assert.deepEqual(granted, []);
  getSession(sessions, second).listener.onActions(second, [grant('a')]);
  assert.deepEqual(granted, [ENGINE]);
});

test('a running grant is registered with the next dispatcher, and a second grant is ignored', (t) => {
  const { broker, sessions, order } = buildBroker(t);
  const [first, second] = listOthers(order);
  const { granted, ticket } = startRequest(broker, 'a');
  const disconnected = getSession(sessions, first);
  disconnected.listener.onActions(first, [grant('a')]);
  disconnected.listener.onDisconnect(first);
  const next = getSession(sessions, second);
  assert.equal(next.asks[0]?.heldUpstream, ENGINE);
  next.listener.onActions(second, [grant('a')]);
  assert.deepEqual(granted, [ENGINE]);
  ticket?.release({
    reason: ReleaseReason.Finished,
    tokens: 1,
    firstTokenMs: 1,
    tokenIntervalMs: undefined,
  });
  assert.deepEqual(next.released, ['a']);
  assert.equal(broker.countOpen(), 0);
});

test('a request that is released before its grant is withdrawn', (t) => {
  const { broker, sessions, order } = buildBroker(t);
  const { ticket } = startRequest(broker, 'a');
  ticket?.release({
    reason: ReleaseReason.CallerGone,
    tokens: 0,
    firstTokenMs: undefined,
    tokenIntervalMs: undefined,
  });
  assert.deepEqual(getSession(sessions, order[0]).withdrawn, ['a']);
});

test('a dispatcher that does not have the shard yet is skipped', (t) => {
  const { broker, sessions, order } = buildBroker(t);
  const [first, second] = listOthers(order);
  const { refused } = startRequest(broker, 'a');
  const code = ResultCode.NotReady;
  const action = { kind: DispatchActionKind.Refuse, askId: 'a', code, retryAfterMs: 50 } as const;
  getSession(sessions, first).listener.onActions(first, [action]);
  assert.deepEqual(refused, []);
  assert.equal(getSession(sessions, second).asks.length, 1);
});

test('the daemon decides itself if the sessions with all other dispatchers are lost', async (t) => {
  const { broker, sessions, order } = buildBroker(t);
  const { granted } = startRequest(broker, 'a');
  for (const vm of listOthers(order)) getSession(sessions, vm).listener.onDisconnect(vm);
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(granted, [ENGINE]);
});

test('a change of members moves queued requests and running grants to the new dispatcher', (t) => {
  const { broker, sessions, members, order } = buildBroker(t);
  const [first, second] = listOthers(order);
  startRequest(broker, 'a');
  startRequest(broker, 'b');
  getSession(sessions, first).listener.onActions(first, [grant('b')]);
  broker.updateMembers(members.filter(({ vm }) => vm !== first));
  const moved = getSession(sessions, second).asks;
  assert.deepEqual(
    moved.map(({ askId, heldUpstream }) => [askId, heldUpstream]),
    [
      ['a', undefined],
      ['b', ENGINE],
    ],
  );
});

test('a request moves to another reachable data centre if the local shard has no engine', (t) => {
  const { broker, sessions, members, order } = buildBroker(t);
  const [first] = listOthers(order);
  const remoteMember = {
    vm: 'vm-9' as VmId,
    dataCentre: 'dc-b' as DataCentreName,
    address: 'vm-9:1',
  };
  broker.updateMembers([...members, remoteMember]);
  const { refused } = startRequest(broker, 'a');
  const refusal = {
    kind: DispatchActionKind.Refuse,
    askId: 'a',
    code: ResultCode.NoUpstream,
    retryAfterMs: 1_000,
  } as const;
  getSession(sessions, first).listener.onActions(first, [refusal]);
  assert.deepEqual(refused, []);
  const remoteSession = getSession(sessions, remoteMember.vm);
  assert.deepEqual(
    remoteSession.asks.map(({ askId }) => askId),
    ['a'],
  );
  remoteSession.listener.onActions(remoteMember.vm, [refusal]);
  assert.deepEqual(refused, [ResultCode.NoUpstream]);
});

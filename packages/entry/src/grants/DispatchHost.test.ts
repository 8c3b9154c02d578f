import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, toBranded } from '@sardinegrade/common';
import { DispatchActionKind, DispatchEventKind, DispatchPolicy } from '@sardinegrade/dispatch';
import { parseConfiguration } from '@sardinegrade/fleet';

import { DispatchHost } from './DispatchHost.js';
import { ShardTable } from './shards.js';

import type { Fingerprint } from '@sardinegrade/common';
import type { DispatchAction, DispatchEvent, GrantRequest } from '@sardinegrade/dispatch';
import type { EngineClient } from '@sardinegrade/upstream';

const NOW_MS = 1_000_000;
const MINUTE_MS = 60_000;
const QUARANTINED_FINGERPRINT = toBranded<Fingerprint>('culprit');

const TEXT = `
[service.counter]
kind = model
model = drill-7b
pool = drill
default_class = query
[service.counter.class.query]
tier = paying
[workspace.desk]
key_sha256[] = ${'0'.repeat(64)}
[upstream.engine-1]
pool = drill
data_centre = dc-a
address = http://127.0.0.1:1
slots = 4
`;

const buildAsk = (fingerprint: Fingerprint): GrantRequest => ({
  askId: `ask-${fingerprint}`,
  requestId: toBranded('r-1'),
  vm: toBranded('vm-1'),
  service: toBranded('counter'),
  className: toBranded('query'),
  workspace: toBranded('desk'),
  arrivedAtMs: NOW_MS,
  deadlineAtMs: NOW_MS + MINUTE_MS,
  promptTokens: 10,
  maxTokens: 10,
  prefixBlocks: [],
  fingerprint,
  resumeAt: 0,
  excludedUpstreams: [],
  attempt: 1,
  isSuspect: false,
  heldUpstream: undefined,
});

const buildHost = (events: readonly DispatchEvent[]): DispatchHost => {
  const engines = {
    readLoad: () => Promise.reject(new Error('no engine')),
    readCacheEvents: () => Promise.reject(new Error('no engine')),
  } as unknown as EngineClient;
  const host = new DispatchHost({
    policy: DispatchPolicy.Tiered,
    clock: { getNowMs: () => NOW_MS },
    random: () => 0,
    engines,
    onQuarantine: () => undefined,
    listKnownEvents: () => events,
    onProbe: () => undefined,
  });
  const configuration = parseConfiguration(TEXT, 1);
  host.applyConfiguration(configuration, new ShardTable(configuration, 8));
  return host;
};

const requestGrant = (host: DispatchHost, fingerprint: Fingerprint): readonly DispatchAction[] => {
  const actions: DispatchAction[] = [];
  host.requestGrant(toBranded('drill/dc-a/0'), buildAsk(fingerprint), (action) =>
    actions.push(action),
  );
  return actions;
};

test('a newly hosted shard applies a quarantine that was published before', (t) => {
  const event: DispatchEvent = {
    kind: DispatchEventKind.Quarantined,
    fingerprint: QUARANTINED_FINGERPRINT,
    untilMs: NOW_MS + MINUTE_MS,
  };
  const host = buildHost([event]);
  t.after(host.stop);
  const [refusal] = requestGrant(host, QUARANTINED_FINGERPRINT);
  assert.equal(refusal?.kind, DispatchActionKind.Refuse);
  assert.equal(refusal.code, ResultCode.Quarantined);
  assert.equal(requestGrant(host, toBranded('innocent'))[0]?.kind, DispatchActionKind.Grant);
});

test('a newly hosted shard grants nothing on an upstream that is known to be leaving', (t) => {
  const event: DispatchEvent = {
    kind: DispatchEventKind.UpstreamLeaving,
    upstream: toBranded('engine-1'),
  };
  const host = buildHost([event]);
  t.after(host.stop);
  assert.notEqual(requestGrant(host, toBranded('innocent'))[0]?.kind, DispatchActionKind.Grant);
});

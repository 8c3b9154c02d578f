import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { BuildHistory, STREAM_LIFETIME_MS } from './BuildHistory.js';
import { StreamOrigins } from './StreamOrigins.js';

import type { RequestId, ServiceName } from '@sardinegrade/common';
import type { StreamOrigin } from './types.js';

const REQUEST = toBranded<RequestId>('r1');

const SERVICE = toBranded<ServiceName>('oracle');

const V1: StreamOrigin = { service: SERVICE, build: toBranded('v1') };
const V2: StreamOrigin = { service: SERVICE, build: toBranded('v2') };

const toReport = (origin: StreamOrigin): Parameters<StreamOrigins['applyReports']>[0][number] => ({
  ...origin,
  request: REQUEST,
  remainingMs: 1_000,
});

test('an origin is known until the stream can no longer be resumed', () => {
  const origins = new StreamOrigins();
  origins.record(REQUEST, V1, 1_000);
  assert.equal(origins.find(REQUEST, 999), V1);
  assert.equal(origins.find(REQUEST, 1_000), undefined);
  origins.sweep(1_000);
  assert.deepEqual([origins.hasUnsent, origins.list(0)], [false, []]);
});

test('an origin about which VMs disagree is not known', () => {
  const origins = new StreamOrigins();
  origins.applyReports([toReport(V1), toReport(V1)], 0, false);
  assert.deepEqual(origins.find(REQUEST, 0), V1);
  origins.applyReports([toReport(V2)], 0, false);
  origins.applyReports([toReport(V1)], 0, false);
  assert.equal(origins.find(REQUEST, 0), undefined);
});

test('an origin is sent twice, once other VMs need it; one that is forwarded is sent once', () => {
  const own = new StreamOrigins();
  own.record(REQUEST, V1, 1_000);
  assert.deepEqual(
    own.collectUnsent(0, () => false),
    [],
  );
  const sent = [0, 1, 2].map((nowMs) => own.collectUnsent(nowMs, () => true).length);
  assert.deepEqual([sent, own.hasUnsent], [[1, 1, 0], false]);
  const relay = new StreamOrigins();
  relay.applyReports([toReport(V1)], 0, true);
  relay.applyReports([toReport(V1)], 0, true);
  const forwarded = [0, 1].map((nowMs) => relay.collectUnsent(nowMs, () => true).length);
  assert.deepEqual(forwarded, [1, 0]);
});

test('a build may have begun a stream until the lifetime of streams after it was last seen', () => {
  const history = new BuildHistory();
  history.record(SERVICE, V1.build, 0);
  history.record(SERVICE, V2.build, 1_000);
  assert.deepEqual(history.list(SERVICE, STREAM_LIFETIME_MS), ['v1', 'v2']);
  assert.deepEqual(history.list(SERVICE, STREAM_LIFETIME_MS + 1), ['v2']);
});

// Guards against ids of any length that use up the memory of the VMs, and load messages that exceed a datagram.
test('a stream with a long request id is found by it, and reported under a short one', () => {
  const [origins, receiver] = [new StreamOrigins(), new StreamOrigins()];
  const request = toBranded<RequestId>('x'.repeat(12_000));
  origins.record(request, V1, 1_000);
  const reports = origins.list(0);
  assert.ok(reports.every((report) => report.request.length <= 128));
  receiver.applyReports(reports, 0, false);
  assert.deepEqual(
    [origins, receiver].map((streams) => streams.find(request, 0)),
    [V1, V1],
  );
});

import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  createMetrics,
  Hop,
  MetricName,
  parseTraceparent,
  ResultCode,
  RunState,
  SardinegradeError,
  startTracing,
} from '@sardinegrade/common';
import { CallOutcome, LookupOutcome } from '@sardinegrade/orders';
import { PlatformError, PlatformFailure, WriteOutcome } from '@sardinegrade/platform';

import { createRequestJournal } from '../administration/index.js';
import { createTestContext } from '../administration/testing/createTestContext.js';
import { observePlatform } from './observePlatform.js';
import { observeServiceClient } from './observeServiceClient.js';
import { registerGauges } from './registerGauges.js';
import { ServiceObserver } from './ServiceObserver.js';

import type { ServiceCall } from '@sardinegrade/orders';
import type { PlatformClient } from '@sardinegrade/platform';
import type { CallerRequest } from '../callers/index.js';
import type { ServiceCallContext } from '../services/index.js';

const createFixture = () => {
  const metrics = createMetrics();
  const tracing = startTracing({ vm: 'vm-1', dataCentre: 'hobart' });
  const entry = tracing.startSpan(Hop.Entry, { requestId: 'r1' });
  const listHops = () =>
    tracing.recent.find(entry.context.traceId)?.spans.map(({ name, code }) => [name, code]);
  return { metrics, tracing, entry, listHops };
};

test('the write and the attempt of an order have spans in the trace of the request', async () => {
  const { metrics, tracing, entry, listHops } = createFixture();
  const observation = { metrics, tracing };
  const writes: unknown[] = [];
  const platform = observePlatform(
    {
      write: (change) => {
        writes.push(change);
        return Promise.resolve({ outcome: WriteOutcome.Written, version: 1 });
      },
    } as PlatformClient,
    observation,
  );
  const headers: string[] = [];
  const serviceClient = observeServiceClient(
    {
      callService: (call) => {
        headers.push(call.traceparent);
        return Promise.resolve({ outcome: CallOutcome.Unknown, cause: undefined });
      },
      lookupStatus: () => Promise.resolve({ outcome: LookupOutcome.Absent }),
    },
    observation,
  );
  const value = { traceparent: entry.traceparent };
  await platform.write({ kind: 'order', name: 'o', ifVersion: 0, changeId: 'c', value });
  const service = { name: 'booking', pool: 'desk' };
  const call = { service, traceparent: entry.traceparent, requestId: 'r1', attemptId: 'a1' };
  await serviceClient.callService(call as unknown as ServiceCall);
  assert.deepEqual(listHops(), [
    [Hop.OrderWrite, undefined],
    [Hop.UpstreamAttempt, ResultCode.UpstreamFailed],
  ]);
  assert.equal(writes.length, 1);
  const sentTrace = parseTraceparent(headers[0]);
  assert.equal(sentTrace?.traceId, entry.context.traceId);
  assert.notEqual(sentTrace.spanId, entry.context.spanId);
  assert.equal(metrics.getCount(MetricName.OrderWrites, { outcome: 'written' }), 1);
});

test('platform calls are counted by method and outcome, and errors are rethrown', async () => {
  const { metrics, tracing } = createFixture();
  const failures = [PlatformFailure.Unavailable, PlatformFailure.Limited];
  const platform = observePlatform(
    {
      read: () =>
        Promise.reject(new PlatformError(failures.shift() ?? PlatformFailure.Invalid, '')),
      listVms: () => Promise.resolve([]),
    } as unknown as PlatformClient,
    { metrics, tracing },
  );
  await assert.rejects(() => platform.read('a', 'b'), { failure: PlatformFailure.Unavailable });
  await assert.rejects(() => platform.read('a', 'b'), { failure: PlatformFailure.Limited });
  await platform.listVms();
  const count = (method: string, outcome: string) =>
    metrics.getCount(MetricName.PlatformCalls, { method, outcome });
  assert.deepEqual(
    [count('read', 'unavailable'), count('read', 'limited'), count('list_vms', 'ok')],
    [1, 1, 1],
  );
});

test('calls to plain services are counted and recorded in the journal, including refusals and replays', () => {
  const metrics = createMetrics();
  const clock = { getNowMs: () => 500 };
  const journal = createRequestJournal(clock);
  const observer = new ServiceObserver({ clock, metrics });
  const observeCall = (
    requestId: string,
    error: SardinegradeError | undefined,
    isReplay: boolean,
  ) => {
    const trail = journal.start({ requestId, workspace: 'rig-desk', traceId: undefined });
    const caller = { trail, request: { method: 'POST' }, arrivedAtMs: 0 };
    const context = {
      service: { name: 'booking' },
      class: { name: 'book' },
      workspace: 'rig-desk',
      deadlineAtMs: 1_000,
    };
    observer.start(caller as CallerRequest, context as unknown as ServiceCallContext);
    observer.finish(context as unknown as ServiceCallContext, { error, isReplay });
    return journal.find(requestId);
  };
  const refused = new SardinegradeError(ResultCode.PlatformUnavailable, 'No record.', {
    run: RunState.NotRun,
  });
  assert.equal(observeCall('r1', undefined, false)?.code, undefined);
  assert.match(observeCall('r2', undefined, true)?.decisions.at(-1)?.detail ?? '', /record/);
  const entry = observeCall('r3', refused, false);
  assert.equal(entry?.code, ResultCode.PlatformUnavailable);
  assert.match(entry.decisions.at(-1)?.detail ?? '', /No record\. \(not_run\)/);
  const attainment = metrics.getClassAttainment('booking', 'book');
  assert.deepEqual([attainment.requests, attainment.attained], [3, 2]);
});

test('gauges report the generation, members, queue lengths and upstreams by health', () => {
  const context = createTestContext();
  registerGauges(context.metrics, context);
  const text = context.metrics.renderPrometheus();
  for (const line of [
    'sardinegrade_configuration_generation 1',
    'sardinegrade_members{state="alive"} 2',
    'sardinegrade_queued_requests{service="counter",class="query"} 5',
    'sardinegrade_upstreams{pool="engines",health="lost"} 1',
  ]) {
    assert.ok(text.split('\n').includes(line), line);
  }
});

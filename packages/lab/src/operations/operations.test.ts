import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { json } from 'node:stream/consumers';
import { test } from 'node:test';

import { sendControl, waitUntil } from '../harness/index.js';
import { READER_KEY, TestFleet } from './TestFleet.js';

import type { AddressInfo } from 'node:net';
import type { FleetOptions } from './TestFleet.js';

const withFleet = async (options: FleetOptions, run: (fleet: TestFleet) => Promise<void>) => {
  const fleet = new TestFleet();
  try {
    await fleet.start(options);
    await run(fleet);
  } finally {
    await fleet.stop();
  }
};

const applyConfiguration = async (fleet: TestFleet): Promise<void> => {
  const applied = await fleet.runCli(['apply', fleet.writeConfiguration()]);
  assert.equal(applied.exitCode, 0, applied.stderr);
};

test('the command-line tool applies and changes a configuration and explains why requests were refused', () =>
  withFleet({ vms: 2, engines: 1, slots: 1 }, async (fleet) => {
    const before = await fleet.runCli(['status']);
    assert.match(before.stdout, /No configuration is in force yet/);
    const unready = await fleet.sendCompletion(0, 'too-early');
    assert.equal(unready.status, 503);

    const checked = await fleet.runCli(['check', fleet.writeConfiguration([['paying', 'gold']])]);
    assert.equal(checked.exitCode, 3);
    const first = await fleet.runCli(['apply', fleet.writeConfiguration()]);
    assert.match(first.stdout, /Generation 1 accepted, in force at 2 of 2 VMs/);
    const wrongKey = await fleet.runCli(['apply', fleet.writeConfiguration()], READER_KEY);
    assert.equal(wrongKey.exitCode, 6);
    const stale = await fleet.runCli(['apply', fleet.writeConfiguration(), '--expect', '0']);
    assert.equal(stale.exitCode, 4);
    assert.match(stale.stderr, /next: /);

    assert.equal((await fleet.sendCompletion(1, 'served')).status, 200);
    const served = await fleet.runCli(['explain', 'served']);
    assert.match(served.stdout, /Request served at vm-2/);
    assert.match(served.stdout, /granted +e1/);
    assert.match(served.stdout, /Answered whole/);

    const metrics = await fleet.readMetrics(1);
    for (const line of [
      'sardinegrade_grants_total{service="counter",class="query",decision="granted"} 1',
      'sardinegrade_upstream_attempts_total{upstream="e1",outcome="finished"} 1',
      'sardinegrade_attained_total{service="counter",class="query"} 1',
      'sardinegrade_configuration_generation 1',
    ]) {
      assert.ok(metrics.split('\n').includes(line), `${line} is missing in:\n${metrics}`);
    }

    assert.equal((await fleet.sendCompletion(0, 'bad-class', { className: 'x' })).status, 400);
    const refused = await fleet.runCli(['explain', 'bad-class']);
    assert.match(refused.stdout, /UnknownClass \(1010\)/);

    const drained = await fleet.runCli(['drain', 'upstream', 'd1']);
    assert.equal(drained.exitCode, 0, drained.stderr);
    assert.match((await fleet.runCli(['status'])).stdout, /counter +down .*depends on booking/);
    assert.equal((await fleet.sendCompletion(0, 'no-desk')).status, 503);
    assert.match((await fleet.runCli(['explain', 'no-desk'])).stdout, /DependencyDown \(2004\)/);
    assert.equal((await fleet.runCli(['undrain', 'upstream', 'd1'])).exitCode, 0);
    assert.equal((await fleet.sendCompletion(0, 'desk-is-back')).status, 200);
    assert.match((await fleet.runCli(['history'])).stdout, /^3 .*\n2 .*\n1 /m);
  }));

test('the command-line tool lists orders and explains those that a platform outage refused', () =>
  withFleet({ vms: 1, engines: 1, slots: 1 }, async (fleet) => {
    await applyConfiguration(fleet);
    assert.equal((await fleet.sendOrder(0, 'bit-1')).status, 200);
    assert.match(
      (await fleet.runCli(['orders', 'show', 'rig-desk', 'booking', 'bit-1'])).stdout,
      /done/,
    );
    assert.match((await fleet.runCli(['explain', 'bit-1'])).stdout, /Answered whole/);
    const settle = [
      'orders',
      'settle',
      'rig-desk',
      'booking',
      'bit-1',
      '--run',
      '--reason',
      'seen',
    ];
    assert.equal((await fleet.runCli(settle)).exitCode, 1);

    await sendControl(fleet.platform.getAddress('address'), { outage: true });
    assert.equal((await fleet.sendOrder(0, 'bit-2')).status, 503);
    assert.match(
      (await fleet.runCli(['explain', 'bit-2'])).stdout,
      /PlatformUnavailable.*\n[^]*not_run/,
    );
    assert.equal((await fleet.runCli(['orders', 'list'])).exitCode, 5);
    assert.equal((await fleet.sendCompletion(0, 'during-outage')).status, 200);
    await sendControl(fleet.platform.getAddress('address'), { outage: false });
    assert.equal((await fleet.sendOrder(0, 'bit-2')).status, 200);
  }));

const COMPLETION_SPANS = ['entry', 'grant_wait', 'dispatch', 'upstream_attempt'];

interface CollectedSpan {
  readonly traceId: string;
  readonly name: string;
}

interface CollectedBody {
  readonly resourceSpans: readonly {
    readonly scopeSpans: readonly { readonly spans: readonly CollectedSpan[] }[];
  }[];
}

test('all spans of a request reach the collector under one trace id', async () => {
  const spans: CollectedSpan[] = [];
  const collector = createServer((request, response) => {
    const collectSpans = async (): Promise<void> => {
      const body = (await json(request)) as CollectedBody;
      for (const { scopeSpans } of body.resourceSpans) {
        for (const scope of scopeSpans) spans.push(...scope.spans);
      }
      response.end('{}');
    };
    collectSpans().catch(() => response.destroy());
  }).listen(0, '127.0.0.1');
  await once(collector, 'listening');
  const otlpAddress = `http://127.0.0.1:${(collector.address() as AddressInfo).port}`;
  try {
    await withFleet({ vms: 2, engines: 1, slots: 1, otlpAddress }, async (fleet) => {
      await applyConfiguration(fleet);
      const readTraceId = async (response: Response) => {
        await response.text();
        return response.headers.get('traceparent')?.split('-')[1] ?? '';
      };
      // One of the two VMs is the dispatcher of the only shard; the other requests grants from it over gRPC.
      const firstTraceId = await readTraceId(await fleet.sendCompletion(0, 'r1'));
      const secondTraceId = await readTraceId(await fleet.sendCompletion(1, 'r2'));
      const orderTraceId = await readTraceId(await fleet.sendOrder(0, 'bit-1'));
      const hasSpans = (traceId: string, expectedNames: readonly string[]) => {
        const names = spans.filter((span) => span.traceId === traceId).map(({ name }) => name);
        return expectedNames.every((name) => names.includes(name));
      };
      await waitUntil('the collector has received all spans', () =>
        [
          hasSpans(firstTraceId, COMPLETION_SPANS),
          hasSpans(secondTraceId, COMPLETION_SPANS),
          hasSpans(orderTraceId, ['entry', 'order_write', 'upstream_attempt']),
        ].every(Boolean),
      );
    });
  } finally {
    collector.close();
    collector.closeAllConnections();
  }
});

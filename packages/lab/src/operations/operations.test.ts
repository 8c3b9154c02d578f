import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { json } from 'node:stream/consumers';
import { test } from 'node:test';

import { sendControl, waitUntil } from '../harness/index.js';
import { READER_KEY, TestFleet } from './TestFleet.js';

import type { AddressInfo } from 'node:net';
import type { FleetSize } from './TestFleet.js';

const withFleet = async (size: FleetSize, run: (fleet: TestFleet) => Promise<void>) => {
  const fleet = new TestFleet();
  try {
    await fleet.start(size);
    await run(fleet);
  } finally {
    await fleet.stop();
  }
};

const applyText = async (fleet: TestFleet): Promise<void> => {
  const applied = await fleet.run(['apply', fleet.writeText()]);
  assert.equal(applied.exitCode, 0, applied.error);
};

test('an operator sets up a fleet, changes it, and finds out why requests were refused', () =>
  withFleet({ vms: 2, engines: 1, slots: 1 }, async (fleet) => {
    const before = await fleet.run(['status']);
    assert.match(before.out, /No configuration is in force yet/);
    const unready = await fleet.complete(0, 'too-early');
    assert.equal(unready.status, 503);

    const checked = await fleet.run(['check', fleet.writeText([['paying', 'gold']])]);
    assert.equal(checked.exitCode, 3);
    const first = await fleet.run(['apply', fleet.writeText()]);
    assert.match(first.out, /Generation 1 accepted, in force at 2 of 2 VMs/);
    const wrongKey = await fleet.run(['apply', fleet.writeText()], READER_KEY);
    assert.equal(wrongKey.exitCode, 6);
    const stale = await fleet.run(['apply', fleet.writeText(), '--expect', '0']);
    assert.equal(stale.exitCode, 4);
    assert.match(stale.error, /next: /);

    assert.equal((await fleet.complete(1, 'served')).status, 200);
    const served = await fleet.run(['explain', 'served']);
    assert.match(served.out, /Request served at vm-2/);
    assert.match(served.out, /granted +e1/);
    assert.match(served.out, /Answered whole/);

    const metrics = await fleet.readMetrics(1);
    for (const line of [
      'sardinegrade_grants_total{service="counter",class="query",decision="granted"} 1',
      'sardinegrade_upstream_attempts_total{upstream="e1",outcome="finished"} 1',
      'sardinegrade_attained_total{service="counter",class="query"} 1',
      'sardinegrade_configuration_generation 1',
    ]) {
      assert.ok(metrics.split('\n').includes(line), `${line} is missing in:\n${metrics}`);
    }

    assert.equal((await fleet.complete(0, 'bad-class', { className: 'x' })).status, 400);
    const refused = await fleet.run(['explain', 'bad-class']);
    assert.match(refused.out, /UnknownClass \(1010\)/);

    const drained = await fleet.run(['drain', 'upstream', 'd1']);
    assert.equal(drained.exitCode, 0, drained.error);
    assert.match((await fleet.run(['status'])).out, /counter +down .*depends on booking/);
    assert.equal((await fleet.complete(0, 'no-desk')).status, 503);
    assert.match((await fleet.run(['explain', 'no-desk'])).out, /DependencyDown \(2004\)/);
    assert.equal((await fleet.run(['undrain', 'upstream', 'd1'])).exitCode, 0);
    assert.equal((await fleet.complete(0, 'desk-is-back')).status, 200);
    assert.match((await fleet.run(['history'])).out, /^3 .*\n2 .*\n1 /m);
  }));

test('an operator sees orders, and what a platform outage does to them', () =>
  withFleet({ vms: 1, engines: 1, slots: 1 }, async (fleet) => {
    await applyText(fleet);
    assert.equal((await fleet.order(0, 'bit-1')).status, 200);
    assert.match((await fleet.run(['orders', 'show', 'rig-desk', 'booking', 'bit-1'])).out, /done/);
    assert.match((await fleet.run(['explain', 'bit-1'])).out, /Answered whole/);
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
    assert.equal((await fleet.run(settle)).exitCode, 1);

    await sendControl(fleet.platform.getAddress('address'), { outage: true });
    assert.equal((await fleet.order(0, 'bit-2')).status, 503);
    assert.match((await fleet.run(['explain', 'bit-2'])).out, /PlatformUnavailable.*\n[^]*not_run/);
    assert.equal((await fleet.run(['orders', 'list'])).exitCode, 5);
    assert.equal((await fleet.complete(0, 'during-outage')).status, 200);
    await sendControl(fleet.platform.getAddress('address'), { outage: false });
    assert.equal((await fleet.order(0, 'bit-2')).status, 200);
  }));

const CHAT_HOPS = ['entry', 'grant_wait', 'dispatch', 'upstream_attempt'];

interface CollectedSpan {
  readonly traceId: string;
  readonly name: string;
}

interface CollectedBody {
  readonly resourceSpans: readonly {
    readonly scopeSpans: readonly { readonly spans: readonly CollectedSpan[] }[];
  }[];
}

test('the spans of each hop reach the collector as one trace', async () => {
  const spans: CollectedSpan[] = [];
  const collector = createServer((request, response) => {
    const respond = async (): Promise<void> => {
      const body = (await json(request)) as CollectedBody;
      for (const { scopeSpans } of body.resourceSpans) {
        for (const scope of scopeSpans) spans.push(...scope.spans);
      }
      response.end('{}');
    };
    respond().catch(() => response.destroy());
  }).listen(0, '127.0.0.1');
  await once(collector, 'listening');
  const otlpAddress = `http://127.0.0.1:${(collector.address() as AddressInfo).port}`;
  try {
    await withFleet({ vms: 2, engines: 1, slots: 1, otlpAddress }, async (fleet) => {
      await applyText(fleet);
      const trace = async (response: Response) => {
        await response.text();
        return response.headers.get('traceparent')?.split('-')[1] ?? '';
      };
      // One of the two VMs is the dispatcher of the only shard: the other asks it over the network.
      const near = await trace(await fleet.complete(0, 'r1'));
      const far = await trace(await fleet.complete(1, 'r2'));
      const order = await trace(await fleet.order(0, 'bit-1'));
      const hasHops = (traceId: string, hops: readonly string[]) => {
        const names = spans.filter((span) => span.traceId === traceId).map(({ name }) => name);
        return hops.every((hop) => names.includes(hop));
      };
      await waitUntil('the spans arrive', () =>
        [
          hasHops(near, CHAT_HOPS),
          hasHops(far, CHAT_HOPS),
          hasHops(order, ['entry', 'order_write', 'upstream_attempt']),
        ].every(Boolean),
      );
    });
  } finally {
    collector.close();
    collector.closeAllConnections();
  }
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { RunState, SardinegradeError, SYSTEM_CLOCK, toBranded } from '@sardinegrade/common';
import { createFleetAgent, parseConfiguration } from '@sardinegrade/fleet';
import {
  CallOutcome,
  createOrderService,
  createWriteBudget,
  DEFAULT_ORDER_TIMINGS,
  deriveOrderName,
  LookupOutcome,
  ORDER_KIND,
} from '@sardinegrade/orders';
import { createMemoryPlatform } from '@sardinegrade/platform';
import fc from 'fast-check';

import { TEST_TEXT } from '../administration/testing/createTestContext.js';

import type { ServiceName, WorkspaceName } from '@sardinegrade/common';
import type { MemoryPlatform } from '@sardinegrade/platform';

const SEED = 7;
const WAIT_LIMIT_MS = 30_000;

/** How long a repeated request waits for an order that another daemon is processing. */
const SHORT_WAIT_MS = 20;

const WORKSPACE = toBranded<WorkspaceName>('rig-desk');
const SERVICE = toBranded<ServiceName>('booking');

/** Overwrites the value under a name, regardless of its version. */
const replaceValue = async (
  platform: MemoryPlatform,
  kind: string,
  name: string,
  value: unknown,
): Promise<void> => {
  const ifVersion = (await platform.read(kind, name))?.version ?? 0;
  await platform.write({ kind, name, ifVersion, changeId: 'x', value });
};

const expectSardinegradeError = (error: unknown): undefined => {
  assert.ok(error instanceof SardinegradeError, String(error));
  return undefined;
};

const withFields = (fields: Readonly<Record<string, fc.Arbitrary<unknown>>>) =>
  fc.record(
    Object.fromEntries(
      Object.entries(fields).map(([name, field]) => [name, fc.oneof(field, fc.jsonValue())]),
    ),
    { requiredKeys: [] },
  );

const configurationValue = fc.oneof(
  fc.jsonValue(),
  withFields({
    generation: fc.oneof(fc.nat(5), fc.constant(Number.MAX_SAFE_INTEGER)),
    text: fc.constantFrom('', '[service', TEST_TEXT.replace('paying', 'gold')),
    textGeneration: fc.nat(5),
    drains: fc.constant([]),
    author: fc.constant('ann'),
    changeId: fc.constant('c'),
    atMs: fc.nat(),
  }),
);

test('an arbitrary stored value in place of the configuration neither stops the daemon nor reverts it', async () => {
  const platform = createMemoryPlatform();
  const agent = createFleetAgent({
    settings: { vm: toBranded('vm-1'), dataCentre: toBranded('hobart'), seeds: [] },
    platform,
    clock: SYSTEM_CLOCK,
    random: () => 0.5,
  });
  agent.start('127.0.0.1:1');
  try {
    const change = { author: 'ann', text: TEST_TEXT };
    for (const changeId of ['c1', 'c2', 'c3']) {
      const baseGeneration = agent.getConfigurationStatus().generation;
      await agent.applyConfiguration({ ...change, changeId, baseGeneration });
    }
    const { text } = agent.getConfiguration() ?? {};
    const property = fc.asyncProperty(configurationValue, async (value) => {
      await replaceValue(platform, 'configuration', 'current', value);
      await agent.listHistory(10, 5).catch(expectSardinegradeError);
      assert.ok(agent.getConfigurationStatus().generation >= 3);
      assert.equal(agent.getConfiguration()?.text, text);
    });
    await fc.assert(property, { seed: SEED, numRuns: 100 });
    // The watch is notified of a write with a delay: waits until it has also received the last values.
    const watches = platform.getCounts().watches;
    await replaceValue(platform, 'configuration', 'current', { generation: 'x' });
    const deadlineAtMs = Date.now() + WAIT_LIMIT_MS;
    while (platform.getCounts().watches <= watches && Date.now() < deadlineAtMs) await sleep(20);
    assert.equal(agent.getConfiguration()?.text, text);
    assert.equal(agent.getMembers().length, 1);
  } finally {
    agent.stop();
  }
});

const body = withFields({ encoding: fc.constantFrom('utf8', 'base64'), data: fc.string() });
const recordValue = fc.oneof(
  fc.jsonValue(),
  withFields({
    state: fc.constantFrom('accepted', 'dispatching', 'done', 'unknown', 'not_run'),
    workspace: fc.constant('rig-desk'),
    service: fc.constant('booking'),
    key: fc.constant('bit-1'),
    fingerprint: fc.constant('f'),
    requestId: fc.constant('r'),
    traceparent: fc.constant(''),
    owner: fc.constant('vm-2'),
    attemptId: fc.constant('a'),
    acceptedAtMs: fc.constant(0),
    retentionMs: fc.constant(1),
    request: withFields({ method: fc.constant('POST'), path: fc.constant('/'), body }),
    answer: withFields({ status: fc.nat(999), bytes: fc.nat(), body }),
    audit: fc.constant([]),
  }),
);

const REFERENCE = { workspace: WORKSPACE, service: SERVICE, key: 'bit-1' };

/** Creates an order service with a fake plain service that answers every call. */
const createOrders = (platform: MemoryPlatform) => {
  const calls: string[] = [];
  const incidents: string[] = [];
  const service = parseConfiguration(TEST_TEXT, 1).services.get(SERVICE);
  assert.ok(service !== undefined);
  const orders = createOrderService({
    platform,
    serviceClient: {
      callService: ({ scopedKey }) => {
        calls.push(scopedKey);
        const answer = { status: 200, headers: {}, body: Buffer.from('done') };
        return Promise.resolve({ outcome: CallOutcome.Answered, answer });
      },
      lookupStatus: () => Promise.resolve({ outcome: LookupOutcome.Unavailable }),
    },
    clock: SYSTEM_CLOCK,
    getMonotonicMs: () => performance.now(),
    sleep: (durationMs) => sleep(Math.min(durationMs, 1)),
    vm: toBranded('vm-1'),
    newId: () => `id-${calls.length}`,
    writeBudget: createWriteBudget({
      clock: SYSTEM_CLOCK,
      writesPerSecond: 10_000,
      burst: 10_000,
    }),
    timings: DEFAULT_ORDER_TIMINGS,
    findService: () => undefined,
    isVmGone: () => true,
    onIncident: (message) => incidents.push(message),
  });
  const submit = (timeoutMs: number) =>
    orders.submitOrder({
      ...REFERENCE,
      service,
      request: { method: 'POST', path: '/', headers: {}, body: Buffer.from('x') },
      requestId: toBranded('r1'),
      traceparent: '',
      deadlineAtMs: Date.now() + timeoutMs,
      concurrency: 1,
    });
  return { orders, calls, incidents, submit };
};

test('an arbitrary stored value in place of an order neither stops the daemon nor causes a call', async () => {
  const platform = createMemoryPlatform();
  const { orders, calls, submit } = createOrders(platform);
  const name = deriveOrderName(WORKSPACE, SERVICE, REFERENCE.key);
  const property = fc.asyncProperty(recordValue, async (value) => {
    await replaceValue(platform, ORDER_KIND, name, value);
    await orders.listOrders({}).catch(expectSardinegradeError);
    const shown = await orders.showOrder(REFERENCE).catch(expectSardinegradeError);
    const result = await submit(SHORT_WAIT_MS);
    assert.ok('error' in result);
    if (shown === undefined) assert.equal(result.error.run, RunState.Unknown);
  });
  await fc.assert(property, { seed: SEED, numRuns: 200 });
  assert.deepEqual(calls, []);
  await orders.drain();
});

test('an unreadable record does not hide the other orders', async () => {
  const platform = createMemoryPlatform();
  const { orders, calls, incidents, submit } = createOrders(platform);
  assert.ok('answer' in (await submit(WAIT_LIMIT_MS)));
  await replaceValue(platform, ORDER_KIND, 'broken', { state: 'gone' });
  for (let round = 0; round < 2; round += 1) {
    assert.equal((await orders.listOrders({})).orders.length, 1);
  }
  for (const incident of incidents) assert.match(incident, /cannot be read/);
  assert.ok(incidents.length > 0);
  assert.equal(calls.length, 1);
  await orders.drain();
});

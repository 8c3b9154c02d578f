import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode } from '@sardinegrade/common';
import { OrderState } from '@sardinegrade/orders';

import { waitUntil } from '../../harness/index.js';
import { Direction } from '../../proxy/index.js';
import { startOrderFleet } from './orderFleet.js';

import type { TestContext } from 'node:test';
import type { OrderFleet } from './orderFleet.js';

const openFleet = async (context: TestContext, hasLookup = true): Promise<OrderFleet> => {
  const fleet = await startOrderFleet(hasLookup);
  context.after(() => fleet.stop());
  return fleet;
};

/** Brings the first daemon to where its record stands and it has not heard so. */
const pauseAtRecord = async (fleet: OrderFleet, key: string) => {
  fleet.platformProxy.setFaults({ down: { isMuted: true } });
  const reply = fleet.sendOrder(fleet.first, key);
  await fleet.waitForState(key, OrderState.Dispatching);
  return { reply };
};

/** Holds the service's answers back, and waits until it has carried an order out. */
const pauseAnswer = async (fleet: OrderFleet, key: string) => {
  await fleet.setService({ answer_delay_ms: 1_500 });
  const reply = fleet.sendOrder(fleet.first, key);
  await waitUntil(
    'the order was carried out',
    async () => (await fleet.countExecutions(key)) === 1,
  );
  return { reply };
};

test('the same key at once through all VMs is carried out once', async (context) => {
  const fleet = await openFleet(context);
  await fleet.setService({ wait_ms: 200 });
  const { entries } = fleet.cluster;
  const replies = await Promise.all(
    [...entries, ...entries].map((entry) => fleet.sendOrder(entry, 'key-1')),
  );
  for (const { status, code } of replies) {
    assert.ok(status === 200 || code === ResultCode.OrderInProgress, `${status} ${code ?? ''}`);
  }
  const bodies = new Set<string>();
  for (const entry of entries) {
    bodies.add((await fleet.retryUntilAnswered(entry, 'key-1')).body);
  }
  for (const { status, body } of replies) if (status === 200) bodies.add(body);
  assert.equal(bodies.size, 1);
  assert.equal(await fleet.countExecutions('key-1'), 1);
  const other = await fleet.sendOrder(fleet.second, 'key-1', 'another bit');
  assert.deepEqual([other.code, other.run], [ResultCode.OrderBodyMismatch, 'not_run']);
});

test('a daemon killed during the call leaves an order that the look-up settles', async (context) => {
  const fleet = await openFleet(context);
  const { reply } = await pauseAnswer(fleet, 'key-1');
  await fleet.first.process.abort();
  assert.equal((await reply).status, 0);
  await fleet.retryUntilAnswered(fleet.second, 'key-1');
  assert.equal(await fleet.countExecutions('key-1'), 1);
});

test('without a look-up the order stays unknown and is not run again', async (context) => {
  const fleet = await openFleet(context, false);
  await pauseAnswer(fleet, 'key-1');
  await fleet.first.process.abort();
  await fleet.waitForState('key-1', OrderState.Unknown);
  const resend = await fleet.sendOrder(fleet.second, 'key-1');
  assert.deepEqual([resend.code, resend.run], [ResultCode.OrderUnknown, 'unknown']);
  assert.equal(await fleet.countExecutions('key-1'), 1);
});

test('a daemon killed between record and call leaves an order that nobody runs', async (context) => {
  const fleet = await openFleet(context, false);
  const { reply } = await pauseAtRecord(fleet, 'key-1');
  await fleet.first.process.abort();
  assert.equal((await reply).status, 0);
  await fleet.waitForState('key-1', OrderState.Unknown);
  const resend = await fleet.sendOrder(fleet.second, 'key-1');
  assert.deepEqual([resend.code, resend.run], [ResultCode.OrderUnknown, 'unknown']);
  assert.equal(await fleet.countExecutions('key-1'), 0);
});

test('a daemon paused between record and call does not call on the old record', async (context) => {
  const fleet = await openFleet(context);
  const { reply } = await pauseAtRecord(fleet, 'key-1');
  const paused = (await fleet.readRecord('key-1'))?.attemptId;
  fleet.first.process.sendSignal('SIGSTOP');
  fleet.platformProxy.setFaults({ down: { isMuted: false } });
  await fleet.waitForState('key-1', OrderState.Unknown);
  assert.equal(await fleet.countExecutions('key-1'), 0);
  fleet.first.process.sendSignal('SIGCONT');
  await reply;
  const answered = await fleet.retryUntilAnswered(fleet.second, 'key-1');
  assert.equal((await fleet.retryUntilAnswered(fleet.first, 'key-1')).body, answered.body);
  assert.equal(await fleet.countExecutions('key-1'), 1);
  assert.notEqual((await fleet.readRecord('key-1'))?.attemptId, paused);
});

test('a daemon paused before its last write gets the same answer as the resend', async (context) => {
  const fleet = await openFleet(context);
  const { reply } = await pauseAnswer(fleet, 'key-1');
  fleet.first.process.sendSignal('SIGSTOP');
  const answered = await fleet.retryUntilAnswered(fleet.second, 'key-1');
  fleet.first.process.sendSignal('SIGCONT');
  const late = await reply;
  assert.ok(late.status === 200 || late.code === ResultCode.OrderInProgress);
  assert.equal((await fleet.retryUntilAnswered(fleet.first, 'key-1')).body, answered.body);
  assert.equal(await fleet.countExecutions('key-1'), 1);
});

test('connections to the platform that go mute lose no order and run none twice', async (context) => {
  const fleet = await openFleet(context);
  await fleet.retryUntilAnswered(fleet.first, 'key-1');
  fleet.platformProxy.pauseExisting([Direction.Down]);
  const replies = await Promise.all(
    ['key-2', 'key-3', 'key-4'].map((key) => fleet.sendOrder(fleet.first, key)),
  );
  assert.ok(replies.every(({ status }) => status > 0));
  for (const key of ['key-2', 'key-3', 'key-4']) {
    await fleet.retryUntilAnswered(fleet.first, key);
    assert.equal(await fleet.countExecutions(key), 1);
  }
});

test('an answer lost on the way from the service is found by the look-up', async (context) => {
  const fleet = await openFleet(context);
  fleet.serviceProxy.setFaults({ down: { isMuted: true } });
  const reply = await fleet.sendOrder(fleet.first, 'key-1');
  assert.deepEqual([reply.code, reply.run], [ResultCode.OrderInProgress, 'unknown']);
  assert.equal(await fleet.countExecutions('key-1'), 1);
  fleet.serviceProxy.setFaults({ down: { isMuted: false } });
  fleet.serviceProxy.reset();
  await fleet.retryUntilAnswered(fleet.second, 'key-1');
  assert.equal(await fleet.countExecutions('key-1'), 1);
});

test('an outage refuses orders as not run, and answers what was done afterwards', async (context) => {
  const fleet = await openFleet(context);
  const before = await fleet.retryUntilAnswered(fleet.first, 'key-1');
  fleet.platformProxy.setFaults({ refusesNew: true });
  fleet.platformProxy.reset();
  const refused = await fleet.sendOrder(fleet.first, 'key-2');
  assert.notEqual(refused.status, 200);
  assert.equal(await fleet.countExecutions('key-2'), 0);
  fleet.platformProxy.setFaults({ refusesNew: false });
  await fleet.retryUntilAnswered(fleet.first, 'key-2');
  assert.equal(await fleet.countExecutions('key-2'), 1);
  assert.equal((await fleet.retryUntilAnswered(fleet.first, 'key-1')).body, before.body);
});

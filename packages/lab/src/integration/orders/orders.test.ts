import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode } from '@sardinegrade/common';
import { OrderState } from '@sardinegrade/orders';

import { waitUntil } from '../../harness/index.js';
import { Direction } from '../../proxy/index.js';
import { startOrderFleet } from './orderFleet.js';

import type { TestContext } from 'node:test';
import type { OrderFleet } from './orderFleet.js';

const startFleet = async (context: TestContext, hasLookup = true): Promise<OrderFleet> => {
  const fleet = await startOrderFleet(hasLookup);
  context.after(() => fleet.stop());
  return fleet;
};

/** Sends an order whose dispatch record is written while the platform's reply to that write is held back. */
const sendOrderWithoutWriteReply = async (fleet: OrderFleet, key: string) => {
  fleet.platformProxy.setFaults({ down: { isMuted: true } });
  const reply = fleet.sendOrder(fleet.faultyEntry, key);
  await fleet.waitForState(key, OrderState.Dispatching);
  return { reply };
};

/** Sends an order, delays the answer of the service, and waits until the service has executed the order. */
const sendOrderWithDelayedAnswer = async (fleet: OrderFleet, key: string) => {
  await fleet.setServiceBehaviour({ answer_delay_ms: 1_500 });
  const reply = fleet.sendOrder(fleet.faultyEntry, key);
  await waitUntil(
    'the order has been executed',
    async () => (await fleet.countExecutions(key)) === 1,
  );
  return { reply };
};

test('an order sent with the same key to all VMs at once is executed once', async (context) => {
  const fleet = await startFleet(context);
  await fleet.setServiceBehaviour({ wait_ms: 200 });
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
  const mismatchedReply = await fleet.sendOrder(fleet.healthyEntry, 'key-1', 'another bit');
  assert.deepEqual(
    [mismatchedReply.code, mismatchedReply.run],
    [ResultCode.OrderBodyMismatch, 'not_run'],
  );
});

test('an order whose daemon is killed during the call is settled by the status look-up', async (context) => {
  const fleet = await startFleet(context);
  const { reply } = await sendOrderWithDelayedAnswer(fleet, 'key-1');
  await fleet.faultyEntry.process.abort();
  assert.equal((await reply).status, 0);
  await fleet.retryUntilAnswered(fleet.healthyEntry, 'key-1');
  assert.equal(await fleet.countExecutions('key-1'), 1);
});

test('without a status look-up the order stays unknown and is not executed again', async (context) => {
  const fleet = await startFleet(context, false);
  await sendOrderWithDelayedAnswer(fleet, 'key-1');
  await fleet.faultyEntry.process.abort();
  await fleet.waitForState('key-1', OrderState.Unknown);
  const repeatedReply = await fleet.sendOrder(fleet.healthyEntry, 'key-1');
  assert.deepEqual([repeatedReply.code, repeatedReply.run], [ResultCode.OrderUnknown, 'unknown']);
  assert.equal(await fleet.countExecutions('key-1'), 1);
});

test('an order whose daemon is killed between record and call is not executed by any daemon', async (context) => {
  const fleet = await startFleet(context, false);
  const { reply } = await sendOrderWithoutWriteReply(fleet, 'key-1');
  await fleet.faultyEntry.process.abort();
  assert.equal((await reply).status, 0);
  await fleet.waitForState('key-1', OrderState.Unknown);
  const repeatedReply = await fleet.sendOrder(fleet.healthyEntry, 'key-1');
  assert.deepEqual([repeatedReply.code, repeatedReply.run], [ResultCode.OrderUnknown, 'unknown']);
  assert.equal(await fleet.countExecutions('key-1'), 0);
});

test('a daemon suspended between record and call does not call the service with the old attempt', async (context) => {
  const fleet = await startFleet(context);
  const { reply } = await sendOrderWithoutWriteReply(fleet, 'key-1');
  const pausedAttemptId = (await fleet.readRecord('key-1'))?.attemptId;
  fleet.faultyEntry.process.sendSignal('SIGSTOP');
  fleet.platformProxy.setFaults({ down: { isMuted: false } });
  await fleet.waitForState('key-1', OrderState.Unknown);
  assert.equal(await fleet.countExecutions('key-1'), 0);
  fleet.faultyEntry.process.sendSignal('SIGCONT');
  await reply;
  const answered = await fleet.retryUntilAnswered(fleet.healthyEntry, 'key-1');
  assert.equal((await fleet.retryUntilAnswered(fleet.faultyEntry, 'key-1')).body, answered.body);
  assert.equal(await fleet.countExecutions('key-1'), 1);
  assert.notEqual((await fleet.readRecord('key-1'))?.attemptId, pausedAttemptId);
});

test('a daemon suspended before its last write returns the same answer as the repeated request', async (context) => {
  const fleet = await startFleet(context);
  const { reply } = await sendOrderWithDelayedAnswer(fleet, 'key-1');
  fleet.faultyEntry.process.sendSignal('SIGSTOP');
  const answered = await fleet.retryUntilAnswered(fleet.healthyEntry, 'key-1');
  fleet.faultyEntry.process.sendSignal('SIGCONT');
  const lateReply = await reply;
  assert.ok(lateReply.status === 200 || lateReply.code === ResultCode.OrderInProgress);
  assert.equal((await fleet.retryUntilAnswered(fleet.faultyEntry, 'key-1')).body, answered.body);
  assert.equal(await fleet.countExecutions('key-1'), 1);
});

test('when connections to the platform go silent, no order is lost or executed twice', async (context) => {
  const fleet = await startFleet(context);
  await fleet.retryUntilAnswered(fleet.faultyEntry, 'key-1');
  fleet.platformProxy.pauseExisting([Direction.Down]);
  const replies = await Promise.all(
    ['key-2', 'key-3', 'key-4'].map((key) => fleet.sendOrder(fleet.faultyEntry, key)),
  );
  assert.ok(replies.every(({ status }) => status > 0));
  for (const key of ['key-2', 'key-3', 'key-4']) {
    await fleet.retryUntilAnswered(fleet.faultyEntry, key);
    assert.equal(await fleet.countExecutions(key), 1);
  }
});

test('a lost answer of the service is found by the status look-up', async (context) => {
  const fleet = await startFleet(context);
  fleet.serviceProxy.setFaults({ down: { isMuted: true } });
  const reply = await fleet.sendOrder(fleet.faultyEntry, 'key-1');
  assert.deepEqual([reply.code, reply.run], [ResultCode.OrderInProgress, 'unknown']);
  assert.equal(await fleet.countExecutions('key-1'), 1);
  fleet.serviceProxy.setFaults({ down: { isMuted: false } });
  fleet.serviceProxy.reset();
  await fleet.retryUntilAnswered(fleet.healthyEntry, 'key-1');
  assert.equal(await fleet.countExecutions('key-1'), 1);
});

test('orders are refused as not run during a platform outage, and finished orders are answered after it', async (context) => {
  const fleet = await startFleet(context);
  const before = await fleet.retryUntilAnswered(fleet.faultyEntry, 'key-1');
  fleet.platformProxy.setFaults({ refusesNew: true });
  fleet.platformProxy.reset();
  const refused = await fleet.sendOrder(fleet.faultyEntry, 'key-2');
  assert.notEqual(refused.status, 200);
  assert.equal(await fleet.countExecutions('key-2'), 0);
  fleet.platformProxy.setFaults({ refusesNew: false });
  await fleet.retryUntilAnswered(fleet.faultyEntry, 'key-2');
  assert.equal(await fleet.countExecutions('key-2'), 1);
  assert.equal((await fleet.retryUntilAnswered(fleet.faultyEntry, 'key-1')).body, before.body);
});

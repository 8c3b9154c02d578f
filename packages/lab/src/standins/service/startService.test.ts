import assert from 'node:assert/strict';
import { test } from 'node:test';

import { startService } from './startService.js';
import { CrashPoint } from './types.js';

import type { TestContext } from 'node:test';
import type { ServiceStandIn } from './startService.js';
import type { ServiceBehaviour } from './types.js';

const openService = async (context: TestContext, behaviour: Partial<ServiceBehaviour> = {}) => {
  const service = await startService({ behaviour });
  context.after(() => service.stop());
  return service;
};

const sendBooking = (service: ServiceStandIn, key: string): Promise<Response> =>
  fetch(`${service.address}/bookings`, {
    method: 'POST',
    headers: { 'idempotency-key': key, 'x-attempt-id': 'a-1' },
    body: '{"bit":1}',
  });

const readStatus = async (service: ServiceStandIn, key: string): Promise<unknown> =>
  (await fetch(`${service.address}/status/${key}`)).json();

test('executions are counted by key, and the status lookup returns their response', async (context) => {
  const service = await openService(context);
  assert.deepEqual(await readStatus(service, 'k'), { state: 'absent' });
  const response = await sendBooking(service, 'k');
  assert.equal(response.headers.get('x-attempt-id'), 'a-1');
  const body = await response.text();
  assert.deepEqual(await readStatus(service, 'k'), {
    state: 'done',
    status: 200,
    content_type: 'application/json',
    body,
  });
  await sendBooking(service, 'k');
  assert.deepEqual(service.getCounts().byKey, { k: 2 });
});

test('a deduplicating service repeats its first response without executing the call again', async (context) => {
  const service = await openService(context, { deduplicates: true });
  const first = await (await sendBooking(service, 'k')).text();
  assert.equal(await (await sendBooking(service, 'k')).text(), first);
  assert.equal(service.getCounts().executions, 1);
});

test('a call whose response is lost is executed, a refused call is not', async (context) => {
  const service = await openService(context, { loseAnswers: 1 });
  await assert.rejects(sendBooking(service, 'lost'));
  service.setBehaviour({ loseAnswers: 0, refuse: 1 });
  assert.equal((await sendBooking(service, 'refused')).status, 503);
  assert.deepEqual(service.getCounts().byKey, { lost: 1 });
});

test('a service crashes before or after it executes the call', async (context) => {
  for (const [crash, executions] of [
    [CrashPoint.Before, 0],
    [CrashPoint.After, 1],
  ] as const) {
    const service = await openService(context, { crash });
    await assert.rejects(sendBooking(service, 'k'));
    assert.equal(service.getCounts().executions, executions);
    await assert.rejects(fetch(`${service.address}/healthz`));
  }
});

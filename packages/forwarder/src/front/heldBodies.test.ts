import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MAX_HELD_BODY_BYTES } from '@sardinegrade/ingress';

import { buildTestConfiguration, formatAnswer, startTestForwarder } from '../testing/index.js';

import type { TestContext } from 'node:test';
import type { TestForwarder, WorkerScript } from '../testing/index.js';

const BODY_BYTES = 4 * 1_024 * 1_024;
const LARGE_BODY = 'x'.repeat(BODY_BYTES);
const SMALL_BODY = 'body';

/** Number of bodies that together need twice the memory that a VM has for them. */
const UPLOADS = (2 * MAX_HELD_BODY_BYTES) / BODY_BYTES;
const BOOKINGS = 20;

const LIMIT_MS = 10_000;
const ANSWER_DELAY_MS = 300;

const answerLate: WorkerScript = (socket, head) =>
  void setTimeout(() => socket.write(formatAnswer(head, 'done')), ANSWER_DELAY_MS);

const startUploads = (context: TestContext): Promise<TestForwarder> => {
  const configuration = buildTestConfiguration();
  const routes = configuration.routes.map((route) => ({
    ...route,
    timeoutMs: LIMIT_MS,
    targetMs: LIMIT_MS,
  }));
  const limits = { ...configuration.limits, bodyBytes: BODY_BYTES };
  return startTestForwarder(context, [answerLate, answerLate], {
    ...configuration,
    routes,
    limits,
  });
};

// Guards against a process that is killed for its memory, with all requests in progress, as many callers upload at once.
test('bodies that exceed the memory for them are refused as not run, and small requests are served', async (context) => {
  const forwarder = await startUploads(context);
  const { heldBodies } = forwarder.state.ingress;
  let peakBytes = 0;
  const timer = setInterval(() => (peakBytes = Math.max(peakBytes, heldBodies.totalBytes)), 1);
  const headers = { 'deadline-ms': String(LIMIT_MS) };
  const uploads = Array.from({ length: UPLOADS }, (_, index) =>
    forwarder.call('unsafe', { ...headers, 'request-id': `u${index}` }, LARGE_BODY),
  );
  const bookings = Array.from({ length: BOOKINGS }, (_, index) =>
    forwarder.call('unsafe', { ...headers, 'request-id': `b${index}` }, SMALL_BODY),
  );
  const booked = await Promise.all(bookings);
  const uploaded = await Promise.all(uploads);
  clearInterval(timer);
  assert.ok(booked.every(({ status }) => status === 200));
  const refused = uploaded.filter(({ status }) => status === 429);
  const served = uploaded.filter(({ status }) => status === 200);
  assert.ok(refused.length > 0 && served.length > 0);
  assert.equal(refused.length + served.length, UPLOADS);
  // The memory holds that many whole bodies; the first ones are served although others come meanwhile.
  assert.ok(served.length >= MAX_HELD_BODY_BYTES / BODY_BYTES - 1, `${served.length} served`);
  assert.ok(refused.every((answer) => Number(answer.headers['retry-after']) > 0));
  assert.ok(refused.every(({ body }) => body.includes('not_run')));
  // Small bodies are read in any case.
  const limitBytes = MAX_HELD_BODY_BYTES + BOOKINGS * SMALL_BODY.length;
  assert.ok(peakBytes <= limitBytes, `${peakBytes} bytes`);
  assert.equal(heldBodies.totalBytes, 0);
  const received = forwarder.workers.flatMap(({ heads }) => heads);
  assert.equal(received.length, served.length + BOOKINGS);
});

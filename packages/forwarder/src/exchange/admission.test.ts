import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';

import { toBranded } from '@sardinegrade/common';

import {
  buildTestConfiguration,
  formatAnswer,
  readHeader,
  startTestForwarder,
} from '../testing/index.js';

import type { RoutingConfiguration } from '@sardinegrade/routing';
import type { WorkerScript } from '../testing/index.js';

const answerDone: WorkerScript = (socket, head) => {
  socket.write(formatAnswer(head, 'done'));
};

const buildKeyed = (): RoutingConfiguration => {
  const configuration = buildTestConfiguration();
  return {
    ...configuration,
    routes: configuration.routes.map((route) => ({ ...route, isPublic: route.name === 'safe' })),
    keyHolders: new Map([['k1', { workspace: toBranded('rig-desk'), priority: 0 }]]),
  };
};

test('a request needs a configured API key, and the worker receives its workspace', async (context) => {
  const forwarder = await startTestForwarder(context, [answerDone], buildKeyed());
  const wrong = await forwarder.call('unsafe', { key: 'other' }, 'body');
  const missing = await forwarder.call('unsafe', {}, 'body');
  assert.deepEqual([wrong.status, missing.status], [401, 401]);
  const listHeads = () => forwarder.workers.flatMap((worker) => worker.heads);
  assert.deepEqual(listHeads(), []);
  const right = await forwarder.call('unsafe', { key: 'k1' }, 'body');
  assert.equal(right.status, 200);
  assert.equal(readHeader(listHeads()[0] ?? '', 'workspace'), 'rig-desk');
  const open = await forwarder.call('safe');
  assert.equal(open.status, 200);
});

test('a newer configuration without a key takes effect immediately; an older one is ignored', async (context) => {
  const forwarder = await startTestForwarder(context, [answerDone], buildKeyed());
  const without = { ...buildKeyed(), version: 2, keyHolders: new Map() };
  assert.equal(forwarder.state.apply(without), true);
  assert.equal(forwarder.state.apply(buildKeyed()), false);
  const answer = await forwarder.call('unsafe', { key: 'k1' }, 'body');
  assert.equal(answer.status, 401);
});

test('a path without a route gets 404, and a body over the limit 413', async (context) => {
  const forwarder = await startTestForwarder(context, [answerDone]);
  const unknown = await forwarder.call('nowhere');
  const large = await forwarder.call('unsafe', {}, 'x'.repeat(1_001));
  assert.deepEqual([unknown.status, large.status], [404, 413]);
});

test('a request for a service without workers is refused as not run, with a retry time', async (context) => {
  const forwarder = await startTestForwarder(context, []);
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
});

test('a worker receives the remaining time, not the original deadline of the caller', async (context) => {
  const forwarder = await startTestForwarder(context, [answerDone]);
  await forwarder.call('safe', { 'deadline-ms': '700' });
  const left = Number(readHeader(forwarder.workers[0]?.heads[0] ?? '', 'deadline-ms'));
  assert.ok(left > 0 && left <= 700, String(left));
});

test('a request without an answer ends at its deadline with 504, since it may have run', async (context) => {
  const forwarder = await startTestForwarder(context, [() => undefined]);
  const answer = await forwarder.call('unsafe', { 'deadline-ms': '150' }, 'body');
  assert.equal(answer.status, 504);
});

test('a request that a worker rejects with 421 goes to another one, even if it may not be repeated', async (context) => {
  let isFirst = true;
  const answerRequest: WorkerScript = (socket, head) => {
    if (!isFirst) {
      answerDone(socket, head);
      return;
    }
    isFirst = false;
    socket.write('HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n');
  };
  const forwarder = await startTestForwarder(context, [answerRequest, answerRequest]);
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.deepEqual([answer.status, answer.body], [200, 'done']);
});

test('an error answer of a worker is relayed unchanged, with its seal', async (context) => {
  const forwarder = await startTestForwarder(context, [
    (socket, head) => socket.write(formatAnswer(head, 'broken', '500 Internal Server Error')),
  ]);
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.deepEqual([answer.status, answer.body, answer.headers.seal], [500, 'broken', 's']);
});

test('a draining VM answers requests, and asks callers to close the connection', async (context) => {
  const forwarder = await startTestForwarder(context, [answerDone]);
  forwarder.state.startDraining();
  const answer = await forwarder.call('safe');
  assert.equal(answer.status, 200);
  assert.equal(answer.headers.connection, 'close');
});

// Guards against a request that is taken late in a drain and cut by the exit of the process.
test('a VM that has been draining for three seconds refuses requests as not run, with a retry time', async (context) => {
  const forwarder = await startTestForwarder(context, [answerDone]);
  forwarder.state.startDraining(performance.now() - 3_000);
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.equal(answer.status, 503);
  assert.match(answer.body, /"run":"not_run"/);
  assert.equal(answer.headers.connection, 'close');
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(forwarder.workers[0]?.heads.length, 0);
});

/** Source of a worker thread that sends a request and immediately closes its connection. */
const LEAVING_CALLER = `
  const { workerData, parentPort } = require('node:worker_threads');
  const { connect } = require('node:net');
  parentPort.once('message', () => {
    const socket = connect(workerData.port, '127.0.0.1');
    socket.end('GET /safe/1 HTTP/1.1\\r\\nhost: desk.example\\r\\nrequest-id: gone-1\\r\\n\\r\\n');
    socket.on('error', () => undefined);
    socket.resume();
  });
`;

test('a request whose caller left while the process was blocked is not forwarded', async (context) => {
  const forwarder = await startTestForwarder(context, [answerDone]);
  const { port } = forwarder;
  const caller = new Worker(LEAVING_CALLER, { eval: true, workerData: { port } });
  context.after(() => caller.terminate());
  await new Promise((resolve) => caller.once('online', resolve));
  caller.postMessage('go');
  const endAtMs = performance.now() + 300;
  while (performance.now() < endAtMs);
  await new Promise((resolve) => setTimeout(resolve, 300));
  assert.deepEqual(
    forwarder.workers.flatMap((worker) => worker.heads),
    [],
  );
  assert.equal((await forwarder.call('safe')).status, 200);
});

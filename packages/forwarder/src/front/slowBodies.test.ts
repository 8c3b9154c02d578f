import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';

import { MAX_PIPELINED_REQUESTS } from '@sardinegrade/ingress';

import { buildTestConfiguration, formatAnswer, startTestForwarder } from '../testing/index.js';

import type { TestContext } from 'node:test';
import type { TestForwarder, WorkerScript } from '../testing/index.js';

const BODY_BYTES = 4 * 1_024 * 1_024;
const LIMIT_MS = 60_000;
const DEADLINE_MS = 300;

const answerAtOnce: WorkerScript = (socket, head) => socket.write(formatAnswer(head, 'done'));

const startVm = (context: TestContext): Promise<TestForwarder> => {
  const base = buildTestConfiguration();
  const routes = base.routes.map((route) => ({ ...route, timeoutMs: LIMIT_MS }));
  const limits = { ...base.limits, bodyBytes: BODY_BYTES };
  return startTestForwarder(context, [answerAtOnce], { ...base, routes, limits });
};

/** Writes texts one after the other as the connection takes them, and returns what comes back until it is closed. */
const sendBytes = (port: number, texts: readonly string[]): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let answer = '';
    socket.on('data', (data: Buffer) => (answer += data.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(answer));
    for (const text of texts) socket.write(text);
  });

const formatHead = (deadlineMs: number, fields: string): string =>
  `POST /unsafe/x HTTP/1.1\r\nhost: desk.example\r\nrequest-id: r1\r\ndeadline-ms: ${deadlineMs}\r\n${fields}\r\n\r\n`;

// Guards against a limit that refuses a request within the limits of callers.
test('a body of the largest size in one-byte chunks is served', async (context) => {
  const forwarder = await startVm(context);
  const answer = await sendBytes(forwarder.port, [
    formatHead(LIMIT_MS, 'transfer-encoding: chunked\r\nconnection: close'),
    '1\r\nx\r\n'.repeat(BODY_BYTES),
    '0\r\n\r\n',
  ]);
  assert.match(answer, /^HTTP\/1\.1 200 .*done$/s);
  assert.match(forwarder.workers[0]?.heads[0] ?? '', new RegExp(`content-length: ${BODY_BYTES}`));
  assert.equal(forwarder.state.ingress.heldBodies.totalBytes, 0);
});

// Guards against memory that a caller holds as long as it stays connected.
test('a body that is not whole at its deadline is refused as not run, and its connection closes', async (context) => {
  const forwarder = await startVm(context);
  const head = formatHead(DEADLINE_MS, 'content-length: 1000');
  const answer = await sendBytes(forwarder.port, [head, 'x']);
  assert.match(answer, /^HTTP\/1\.1 408 .*not_run/s);
  assert.equal(forwarder.workers[0]?.heads.length, 0);
  const { heldBodies } = forwarder.state.ingress;
  assert.deepEqual([heldBodies.totalBytes, heldBodies.openCount], [0, 0]);
});

test('a connection that asks for too many answers at a time is closed, and others are served', async (context) => {
  const forwarder = await startVm(context);
  const texts = Array.from({ length: MAX_PIPELINED_REQUESTS + 1 }, () =>
    formatHead(LIMIT_MS, 'content-length: 0'),
  );
  await sendBytes(forwarder.port, [texts.join('')]);
  assert.equal((await forwarder.call('unsafe', {}, 'body')).status, 200);
  assert.equal(forwarder.countOpen(), 0);
});

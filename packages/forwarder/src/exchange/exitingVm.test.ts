import assert from 'node:assert/strict';
import { test } from 'node:test';

import { formatAnswer, startTestForwarder } from '../testing/index.js';

import type { TestForwarder, WorkerScript } from '../testing/index.js';

const answer: WorkerScript = (socket, head) => socket.write(formatAnswer(head, 'done'));

/** Lets the worker say once that it wants no requests for a time, so that the next ones wait. */
const buildPausingWorker = (): WorkerScript => {
  let isFirst = true;
  return (socket, head) => {
    const text = formatAnswer(head, '', '503 Service Unavailable');
    socket.write(
      isFirst
        ? text.replace('seal: s', 'not-run: 1\r\nretry-after: 0.4')
        : formatAnswer(head, 'done'),
    );
    isFirst = false;
  };
};

const countSends = ({ workers }: TestForwarder): number =>
  workers.reduce((sum, { heads }) => sum + heads.length, 0);

// Guards against requests that are passed on late in the grace period and cut by the exit.
test('a request that the exit would cut is refused as not run', async (context) => {
  const forwarder = await startTestForwarder(context, [answer]);
  const nowMs = performance.now();
  forwarder.state.startDraining(nowMs, nowMs + 50);
  for (const kind of ['safe', 'unsafe', 'stream']) {
    const { status, headers } = await forwarder.call(kind, {}, 'body');
    assert.deepEqual([status, headers['retry-after']], [503, '0.10']);
  }
  assert.equal(countSends(forwarder), 0);
});

// Guards against requests that wait when the process is told to end, and are sent at any time before its exit.
test('a request that waits is refused as not run once the exit would cut it', async (context) => {
  const forwarder = await startTestForwarder(context, [buildPausingWorker()]);
  const pausing = forwarder.call('unsafe', { 'request-id': 'r1' }, 'body');
  while (countSends(forwarder) === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  const nowMs = performance.now();
  forwarder.state.startDraining(nowMs, nowMs + 200);
  const waiting = await forwarder.call('unsafe', { 'request-id': 'r2' }, 'body');
  assert.equal(waiting.status, 503);
  assert.equal((await pausing).status, 503);
  assert.equal(countSends(forwarder), 1);
});

// Guards against requests that end without an answer when the process exits.
test('requests in progress get a final answer before the exit, and their workers stop', async (context) => {
  const forwarder = await startTestForwarder(context, [() => undefined]);
  const call = forwarder.call('unsafe', {}, 'body');
  while (countSends(forwarder) === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  forwarder.settleAll();
  assert.equal((await call).status, 502);
  while (forwarder.workers[0]?.closed === 0) await new Promise((resolve) => setTimeout(resolve, 1));
});

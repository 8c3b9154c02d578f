import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import {
  buildTestConfiguration,
  formatAnswer,
  formatStream,
  startTestForwarder,
  STREAM_END,
} from '../testing/index.js';

import type { ServiceName } from '@sardinegrade/common';
import type { WorkerScript } from '../testing/index.js';

const answerAtOnce: WorkerScript = (socket, head) => socket.write(formatAnswer(head, 'done'));

const UNUSABLE_ADDRESSES = ['127.0.0.1:99999', '999.1.1.1:80', '127.0.0.1:0', ':'];

const abortUnexpectedly = (): never => {
  throw new Error('an error in a part that the request needs');
};

for (const address of UNUSABLE_ADDRESSES) {
  test(`each request is answered although the address of a worker is not usable (${address})`, async (context) => {
    const forwarder = await startTestForwarder(context, [answerAtOnce, answerAtOnce]);
    const [known] = forwarder.state.fleet.directory.listAll();
    assert.ok(known !== undefined);
    forwarder.state.fleet.directory.set({ ...known, id: toBranded('odd'), address });
    const calls = Array.from({ length: 12 }, () => forwarder.call('unsafe', {}, 'body'));
    const statuses = (await Promise.all(calls)).map(({ status }) => status);
    assert.deepEqual(statuses, Array<number>(12).fill(200));
  });
}

test('a request is refused as not run if its admission fails unexpectedly', async (context) => {
  const forwarder = await startTestForwarder(context, [answerAtOnce]);
  forwarder.state.crashes.isQuarantined = abortUnexpectedly;
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers['retry-after']) > 0);
  assert.equal(forwarder.workers[0]?.heads.length, 0);
});

// Nothing else catches such an error, so it would end the process with all requests in progress.
test('a request is refused as not run if its head cannot be decoded', async (context) => {
  const forwarder = await startTestForwarder(context, [answerAtOnce]);
  const protocol = { ...forwarder.state.options.protocol, decodeRequest: abortUnexpectedly };
  Object.assign(forwarder.state.options, { protocol });
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.equal(answer.status, 503);
  assert.equal(forwarder.workers[0]?.heads.length, 0);
});

test('a request is refused as not run if its placement fails unexpectedly', async (context) => {
  const forwarder = await startTestForwarder(context, [answerAtOnce]);
  forwarder.state.fleet.listCandidates = abortUnexpectedly;
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.equal(answer.status, 503);
  assert.ok(forwarder.logLines.some((line) => line.includes('request failed unexpectedly')));
});

test('a request whose answer cannot be handled gets a final answer that does not deny the run', async (context) => {
  const forwarder = await startTestForwarder(context, [answerAtOnce]);
  forwarder.state.workerLimits.recordAnswer = abortUnexpectedly;
  const startedAtMs = performance.now();
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.equal(answer.status, 502);
  assert.ok(performance.now() - startedAtMs < 1_000);
});

test('a request whose whole answer cannot be relayed gets a final answer at once', async (context) => {
  const forwarder = await startTestForwarder(context, [answerAtOnce]);
  const protocol = { ...forwarder.state.options.protocol, encodeAnswer: abortUnexpectedly };
  Object.assign(forwarder.state.options, { protocol });
  const startedAtMs = performance.now();
  const answer = await forwarder.call('unsafe', {}, 'body');
  assert.equal(answer.status, 502);
  assert.ok(performance.now() - startedAtMs < 1_000);
});

test('a stream whose head cannot be relayed ends with a final answer', async (context) => {
  const forwarder = await startTestForwarder(context, [
    (socket, head) => socket.write(formatStream(head, ['a']) + STREAM_END),
  ]);
  const protocol = { ...forwarder.state.options.protocol, encodeAnswer: abortUnexpectedly };
  Object.assign(forwarder.state.options, { protocol });
  const answer = await forwarder.call('stream', {}, 'prompt');
  assert.equal(answer.status, 502);
});

// An error in a pass of the queue would end the process, and with it all requests.
test('requests that wait are answered although one of them fails unexpectedly', async (context) => {
  const name = toBranded<ServiceName>('desk');
  const engine = { slots: 1, cacheTokens: 600_000 };
  const services = new Map([[name, { name, connectionLimit: 100, engine }]]);
  const release: (() => void)[] = [];
  const forwarder = await startTestForwarder(
    context,
    [(socket, head) => release.push(() => socket.write(formatAnswer(head, 'done')))],
    buildTestConfiguration({ services }),
  );
  const { state } = forwarder;
  const calls = ['r1', 'r2', 'r3'].map((id) =>
    forwarder.call('unsafe', { 'request-id': id, tokens: '300', parts: 'p' }, 'body'),
  );
  while (release.length === 0 || state.queue.size < 2)
    await new Promise((resolve) => setTimeout(resolve, 5));
  const listCandidates = state.fleet.listCandidates.bind(state.fleet);
  let failures = 1;
  state.fleet.listCandidates = (...args) => {
    failures -= 1;
    return failures >= 0 ? abortUnexpectedly() : listCandidates(...args);
  };
  const timer = setInterval(() => release.shift()?.(), 20);
  context.after(() => clearInterval(timer));
  const statuses = (await Promise.all(calls)).map(({ status }) => status);
  assert.deepEqual(statuses.sort(), [200, 200, 503]);
});

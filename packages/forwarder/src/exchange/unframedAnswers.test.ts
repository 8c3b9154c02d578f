import assert from 'node:assert/strict';
import { test } from 'node:test';

import { formatAnswer, readHeader, startTestForwarder } from '../testing/index.js';

import type { TestAnswer, WorkerScript } from '../testing/index.js';

const EVENTS = [1, 2, 3, 4, 5];

const EVENT_INTERVAL_MS = 2;

/** Number of callers at the same time, and of requests that each sends. */
const CALLERS = 20;
const CALLS = 12;

const formatEvents = (ids: readonly number[]): string =>
  ids.map((id) => `id: ${id}\ndata: text\n\n`).join('');

/** Answers with a length, or streams events without one and ends in order. */
const answer: WorkerScript = (socket, head) => {
  if (head.includes('/safe/')) {
    socket.write(formatAnswer(head, 'done'));
    return;
  }
  const id = readHeader(head, 'request-id');
  socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\n\r\n`);
  let sent = 0;
  const timer = setInterval(() => {
    socket.write(formatEvents(EVENTS.slice(sent, sent + 1)));
    sent += 1;
    if (sent < EVENTS.length) return;
    clearInterval(timer);
    socket.end();
  }, EVENT_INTERVAL_MS);
};

// Guards against sound streams that are taken for reset: a connection that had just ended was used for the next request, which
// inherited how the last one had ended.
test('streams without a length that end in order are whole, whatever their connection has carried before', async (context) => {
  const forwarder = await startTestForwarder(context, [answer, answer, answer]);
  const answers: TestAnswer[] = [];
  const callAll = async (caller: number): Promise<void> => {
    for (let call = 0; call < CALLS; call += 1) {
      await forwarder.call('safe', { 'request-id': `s${caller}-${call}` }, 'body');
      const kind = call % 2 === 0 ? 'stream' : 'resumable';
      const headers = { 'request-id': `t${caller}-${call}` };
      answers.push(await forwarder.call(kind, headers, 'body'));
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, (_, caller) => callAll(caller)));
  const isSound = ({ status, isComplete, body }: TestAnswer): boolean =>
    status === 200 && isComplete && body === formatEvents(EVENTS);
  assert.equal(answers.length, CALLERS * CALLS);
  assert.deepEqual([answers.filter((one) => !isSound(one)), forwarder.listUnanswered()], [[], []]);
});

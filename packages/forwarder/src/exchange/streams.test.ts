import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  formatEvent,
  formatStream,
  readHeader,
  startTestForwarder,
  STREAM_END,
} from '../testing/index.js';

import type { WorkerScript } from '../testing/index.js';

const EVENTS = ['a', 'b', 'c', 'd'];

/** Streams the events after Last-Event-Id. The first call ends the connection in the middle of an event. */
const buildFailingOnce = (): WorkerScript => {
  let isFirst = true;
  return (socket, head) => {
    const after = Number(readHeader(head, 'last-event-id') || 0);
    if (!isFirst) {
      socket.write(formatStream(head, EVENTS.slice(after)) + STREAM_END);
      return;
    }
    isFirst = false;
    socket.write(`${formatStream(head, EVENTS.slice(0, 2))}f\r\nid: 3\ndata: hal`, () =>
      socket.destroy(),
    );
  };
};

const listIds = (body: string): readonly string[] =>
  [...body.matchAll(/id: (\d+)/g)].map((match) => match[1] ?? '');

test('a resumable stream continues on another worker with the next event, without gaps or duplicates', async (context) => {
  const answerRequest = buildFailingOnce();
  const forwarder = await startTestForwarder(context, [answerRequest, answerRequest]);
  const answer = await forwarder.call('resumable', {}, 'prompt');
  assert.equal(answer.status, 200);
  assert.equal(answer.isComplete, true);
  assert.deepEqual(listIds(answer.body), ['1', '2', '3', '4']);
  const resumed = forwarder.workers.flatMap((worker) => worker.heads).at(-1) ?? '';
  assert.ok(forwarder.workers.every((worker) => worker.heads.length === 1));
  assert.ok(['', '2'].includes(readHeader(resumed, 'last-event-id')));
});

test('a stream that may not be resumed ends incomplete, and its request is sent once', async (context) => {
  const answerRequest = buildFailingOnce();
  const forwarder = await startTestForwarder(context, [answerRequest, answerRequest]);
  const answer = await forwarder.call('stream', {}, 'prompt');
  assert.equal(answer.isComplete, false);
  assert.deepEqual(listIds(answer.body), ['1', '2']);
  const sends = forwarder.workers.reduce((sum, worker) => sum + worker.heads.length, 0);
  assert.equal(sends, 1);
});

test('a stream whose event never ends is cut off, and its connection closed', async (context) => {
  let onClose: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => (onClose = resolve));
  const forwarder = await startTestForwarder(context, [
    (socket, head) => {
      socket.write(formatStream(head, ['a']));
      socket.on('close', onClose);
      const chunk = `10000\r\n${'x'.repeat(0x10000)}\r\n`;
      const timer = setInterval(() => socket.write(chunk), 1);
      socket.on('close', () => clearInterval(timer));
    },
  ]);
  const answer = await forwarder.call('stream', {}, 'body');
  assert.deepEqual([answer.status, answer.isComplete], [200, false]);
  assert.match(answer.body, /^id: 1\ndata: a\n\n$/);
  await closed;
  assert.ok(forwarder.logLines.some((line) => line.includes('an event exceeds 262144 bytes')));
});

test('a stream that ends in the middle of an event is not relayed as complete', async (context) => {
  const forwarder = await startTestForwarder(context, [
    (socket, head) => {
      socket.write(`${formatStream(head, ['a'])}4\r\nid: \r\n${STREAM_END}`);
    },
  ]);
  const answer = await forwarder.call('stream', {}, 'prompt');
  assert.equal(answer.isComplete, false);
});

test('a resumed stream keeps the headers of its first worker', async (context) => {
  let sends = 0;
  const answerRequest: WorkerScript = (socket, head) => {
    sends += 1;
    const isFirst = sends === 1;
    const after = Number(readHeader(head, 'last-event-id') || 0);
    const text = formatStream(head, isFirst ? ['a'] : EVENTS.slice(after));
    socket.write(text.replace('seal: s', `seal: s${sends}`) + (isFirst ? '' : STREAM_END), () => {
      if (isFirst) setTimeout(() => socket.resetAndDestroy(), 20);
    });
  };
  const forwarder = await startTestForwarder(context, [answerRequest, answerRequest]);
  const answer = await forwarder.call('resumable', {}, 'prompt');
  assert.equal(answer.headers.seal, 's1');
  assert.equal(answer.isComplete, true);
});

test('a resumable stream continues on another worker if the first one stops sending', async (context) => {
  let isFirst = true;
  const answerRequest: WorkerScript = (socket, head) => {
    const after = Number(readHeader(head, 'last-event-id') || 0);
    if (!isFirst) {
      socket.write(formatStream(head, EVENTS.slice(after)) + STREAM_END);
      return;
    }
    isFirst = false;
    socket.write(formatStream(head, ['a']));
  };
  const forwarder = await startTestForwarder(context, [answerRequest, answerRequest]);
  const answer = await forwarder.call('resumable', {}, 'prompt');
  assert.equal(answer.isComplete, true);
  assert.deepEqual(listIds(answer.body), ['1', '2', '3', '4']);
});

test('the connection to the worker is closed when the caller leaves', async (context) => {
  let id = 0;
  const forwarder = await startTestForwarder(context, [
    (socket, head) => {
      socket.write(formatStream(head, []));
      const timer = setInterval(() => socket.write(formatEvent((id += 1), 'more')), 10);
      socket.on('close', () => clearInterval(timer));
    },
  ]);
  await forwarder.callUntil('stream', 'prompt', () => id >= 3);
  const worker = forwarder.workers[0];
  for (let tries = 0; tries < 100 && worker?.closed === 0; tries += 1) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.equal(worker?.closed, 1);
});

/** Formats a stream with neither a length nor chunks, which ends with its connection. */
const formatUnframedStream = (head: string, events: readonly string[]): string =>
  `HTTP/1.1 200 OK\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n` +
  `content-type: text/event-stream\r\nconnection: close\r\n\r\n` +
  events.map((text, index) => `id: ${index + 1}\ndata: ${text}\n\n`).join('');

test('a stream without a length or chunks that ends after an event is complete, also at a VM that drains', async (context) => {
  const forwarder = await startTestForwarder(context, [
    (socket, head) => socket.end(formatUnframedStream(head, EVENTS)),
  ]);
  for (const isDraining of [false, true]) {
    if (isDraining) forwarder.state.startDraining();
    const answer = await forwarder.call('stream', {}, 'prompt');
    assert.deepEqual([answer.status, answer.isComplete], [200, true]);
    assert.deepEqual(listIds(answer.body), ['1', '2', '3', '4']);
  }
});

test('a stream without a length or chunks that ends inside an event is broken', async (context) => {
  const answerHalf: WorkerScript = (socket, head) =>
    socket.end(`${formatUnframedStream(head, EVENTS.slice(0, 2))}id: 3\ndata: hal`);
  const forwarder = await startTestForwarder(context, [answerHalf]);
  const answer = await forwarder.call('stream', {}, 'prompt');
  assert.equal(answer.isComplete, false);
  assert.deepEqual(listIds(answer.body), ['1', '2']);
});

test('a stream without a length or chunks that is reset after an event is broken', async (context) => {
  const answerAndReset: WorkerScript = (socket, head) =>
    socket.write(formatUnframedStream(head, EVENTS.slice(0, 2)), () =>
      setTimeout(() => socket.resetAndDestroy(), 50),
    );
  const forwarder = await startTestForwarder(context, [answerAndReset]);
  const answer = await forwarder.call('stream', {}, 'prompt');
  assert.equal(answer.isComplete, false);
});

// Guards against a cut stream that looks whole: a reset that arrives with the last event is reported as an orderly end.
test('a stream without a length or chunks that is reset together with its last event is broken', async (context) => {
  const answerAndReset: WorkerScript = (socket, head) =>
    socket.write(formatUnframedStream(head, EVENTS.slice(0, 2)), () => socket.resetAndDestroy());
  const forwarder = await startTestForwarder(context, [answerAndReset]);
  for (let calls = 0; calls < 12; calls += 1) {
    const answer = await forwarder.call('stream', { 'request-id': `r${calls}` }, 'prompt');
    assert.equal(answer.isComplete, false);
  }
  assert.ok(forwarder.logLines.every((line) => !line.includes('ended in order')));
});

// Guards against the head of an answer from a worker that crashed being relayed as a complete stream without events.
test('a stream without a length or chunks that ends before its first event is broken', async (context) => {
  const forwarder = await startTestForwarder(context, [
    (socket, head) => socket.end(formatUnframedStream(head, [])),
  ]);
  const answer = await forwarder.call('stream', {}, 'prompt');
  assert.equal(answer.status, 502);
});

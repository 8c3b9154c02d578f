import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  buildTestConfiguration,
  formatStream,
  readHeader,
  startTestForwarder,
  STREAM_END,
} from '../testing/index.js';

import type { Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { TestAnswer, WorkerScript } from '../testing/index.js';

const EVENTS = ['a', 'b', 'c', 'd'];
const WHOLE = EVENTS.map((text, index) => `id: ${index + 1}\ndata: ${text}\n\n`).join('');

/** Number of events before the stream breaks off. */
const SENT = 2;

const TEXT = 'internal error\n\nno such model\n\n';

/** Routes whose streams may run three times. */
const CONFIGURATION = buildTestConfiguration({
  routes: buildTestConfiguration().routes.map((route) => ({ ...route, maxRuns: 3 })),
});

type Write = (socket: Socket, head: string) => unknown;

const formatHead = (head: string, status: string, fields: string): string =>
  `HTTP/1.1 ${status}\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n${fields}\r\n\r\n`;

const formatText = (head: string, status: string, type: string, body: string): string =>
  formatHead(head, status, `content-type: ${type}\r\ncontent-length: ${body.length}`) + body;

/** Ways in which a stream breaks off after its second event. */
const BREAKS: Readonly<Record<string, Write>> = {
  'a reset': (socket, head) =>
    socket.write(formatStream(head, EVENTS.slice(0, SENT)), () =>
      setTimeout(() => socket.resetAndDestroy(), 10),
    ),
  'an end inside an event': (socket, head) =>
    socket.end(`${formatStream(head, EVENTS.slice(0, SENT))}f\r\nid: 3\ndata: c`),
  'a reset of a stream without a length': (socket, head) => {
    const events = WHOLE.slice(0, WHOLE.indexOf('id: 3'));
    const answer = formatHead(head, '200 OK', 'content-type: text/event-stream') + events;
    socket.write(answer, () => setTimeout(() => socket.resetAndDestroy(), 10));
  },
};

/** Answers to the request to go on that do not go on with the stream. */
const FOREIGN: Readonly<Record<string, Write>> = {
  'no event': (socket, head) => socket.write(formatStream(head, []) + STREAM_END),
  'a text': (socket, head) => socket.write(formatText(head, '200 OK', 'text/plain', TEXT)),
  'a text that claims to be a stream': (socket, head) =>
    socket.write(formatText(head, '200 OK', 'text/event-stream', TEXT)),
  'events that the caller has': (socket, head) =>
    socket.write(formatText(head, '200 OK', 'text/event-stream', WHOLE)),
  'no content': (socket, head) =>
    socket.write(formatHead(head, '204 No Content', 'content-type: text/event-stream')),
  'status 400': (socket, head) => socket.write(formatText(head, '400 Bad', 'text/plain', TEXT)),
  'status 404': (socket, head) => socket.write(formatText(head, '404 No', 'text/plain', TEXT)),
  'status 500': (socket, head) => socket.write(formatText(head, '500 Error', 'text/plain', TEXT)),
};

/** Calls a resumable stream whose sends are answered in this order; the last one answers all further ones. */
const callStream = async (
  context: TestContext,
  writes: readonly Write[],
): Promise<{ readonly answer: TestAnswer; readonly sends: number }> => {
  let sends = 0;
  const answerSend: WorkerScript = (socket, head) => {
    writes[Math.min(sends, writes.length - 1)]?.(socket, head);
    sends += 1;
  };
  const forwarder = await startTestForwarder(
    context,
    [answerSend, answerSend, answerSend],
    CONFIGURATION,
  );
  forwarder.state.setVmCount(1);
  const answer = await forwarder.call('resumable', {}, 'prompt');
  return { answer, sends };
};

const resumeStream: Write = (socket, head) => {
  const after = Number(readHeader(head, 'last-event-id') || 0);
  socket.write(formatStream(head, EVENTS.slice(after)) + STREAM_END);
};

// Guards against the text of a worker in the middle of another one's stream, and against streams that end as whole too early.
for (const [breakName, writeBreak] of Object.entries(BREAKS)) {
  for (const [name, writeForeign] of Object.entries(FOREIGN)) {
    test(`a stream that breaks off by ${breakName} goes on elsewhere if the next worker answers with ${name}`, async (context) => {
      const { answer, sends } = await callStream(context, [writeBreak, writeForeign, resumeStream]);
      assert.deepEqual([answer.body, answer.isComplete, sends], [WHOLE, true, 3]);
    });
  }
}

for (const [name, writeForeign] of Object.entries(FOREIGN)) {
  test(`a stream is cut if no worker goes on with it (${name})`, async (context) => {
    const writeReset = BREAKS['a reset'];
    assert.ok(writeReset !== undefined);
    const { answer } = await callStream(context, [
      writeReset,
      writeForeign,
      (socket) => socket.destroy(),
    ]);
    const isWhole = answer.isComplete || answer.body !== WHOLE.slice(0, WHOLE.indexOf('id: 3'));
    assert.equal(isWhole, false);
  });
}

// Guards against a stream that is cut although its last event has been delivered.
test('a stream is whole if two workers have nothing to go on with', async (context) => {
  const { answer, sends } = await callStream(context, [
    (socket, head) =>
      socket.write(formatStream(head, EVENTS), () => setTimeout(() => socket.destroy(), 10)),
    resumeStream,
  ]);
  assert.deepEqual([answer.body, answer.isComplete, sends], [WHOLE, true, 3]);
});

// Guards against a stream that is cut although its last event has been delivered, where the route allows no further run.
test('a stream is whole if the last worker that may be asked has nothing to go on with', async (context) => {
  const answerOrBreak: WorkerScript = (socket, head) => {
    const after = Number(readHeader(head, 'last-event-id') || 0);
    if (after > 0) resumeStream(socket, head);
    else socket.write(formatStream(head, EVENTS), () => setTimeout(() => socket.destroy(), 10));
  };
  const forwarder = await startTestForwarder(context, [answerOrBreak, answerOrBreak]);
  const answer = await forwarder.call('resumable', {}, 'prompt');
  assert.deepEqual([answer.body, answer.isComplete], [WHOLE, true]);
});

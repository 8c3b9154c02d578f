import assert from 'node:assert/strict';
import { test } from 'node:test';

import { formatAnswer, startTestForwarder } from '../testing/index.js';

import type { WorkerScript } from '../testing/index.js';

const BODY = 'done';

/** Whole answers, by what stands in their heads. */
const ANSWERS: Readonly<Record<string, (head: string) => string>> = {
  'a length': (head) => formatAnswer(head, BODY),
  'no length': (head) => formatAnswer(head, BODY).replace(/content-length: .*\r\n/i, ''),
  'a length after `connection: close`': (head) =>
    formatAnswer(head, BODY).replace('\r\n', '\r\nconnection: close\r\n'),
  chunks: (head) =>
    formatAnswer(head, `${BODY.length}\r\n${BODY}\r\n0\r\n\r\n`).replace(
      /content-length: .*\r\n/i,
      'transfer-encoding: chunked\r\n',
    ),
  'an informational answer': (head) =>
    `HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n${formatAnswer(head, BODY)}`,
  'an informational answer that closes': (head) =>
    `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n${formatAnswer(head, BODY)}`,
};

const ENDS: Readonly<Record<string, (socket: Parameters<WorkerScript>[0]) => void>> = {
  closes: (socket) => socket.end(),
  resets: (socket) => socket.resetAndDestroy(),
};

const ROUTES = ['safe', 'unsafe', 'stream', 'resumable'];

/** Distance between two places at which a head is cut, in bytes; the last bytes are all tried. */
const STEP_BYTES = 7;
const LAST_BYTES = 6;

const HEAD_END = '\r\n\r\n';

/** @returns number of bytes up to the end of the final answer's head */
const measureHead = (answer: string): number =>
  answer.indexOf(HEAD_END, answer.indexOf('seal:')) + HEAD_END.length;

const listCuts = (length: number): readonly number[] =>
  Array.from({ length }, (_, cut) => cut).filter(
    (cut) => cut % STEP_BYTES === 0 || cut >= length - LAST_BYTES,
  );

for (const [name, formatWhole] of Object.entries(ANSWERS)) {
  for (const [end, endConnection] of Object.entries(ENDS)) {
    test(`a worker that ${end} within a head with ${name} gives no success`, async (context) => {
      let cut = 0;
      let isSound = true;
      const forwarder = await startTestForwarder(context, [
        (socket, head) => {
          const answer = formatWhole(head);
          if (isSound) {
            socket.write(formatAnswer(head, BODY));
            return;
          }
          socket.write(answer.slice(0, cut));
          setImmediate(() => endConnection(socket));
        },
      ]);
      const length = measureHead(formatWhole('request-id: r1\r\n'));
      for (const route of ROUTES) {
        for (cut of listCuts(length)) {
          forwarder.state.fleet.resetLinks();
          // Half of the heads are cut on a connection that has carried a whole answer.
          if (cut % 2 === 0) {
            isSound = true;
            const before = await forwarder.call('safe', {}, 'body');
            assert.equal(before.status, 200, `${route}, before the cut at ${cut}`);
          }
          isSound = false;
          const answer = await forwarder.call(route, {}, 'body');
          const isSuccess = answer.status === 200 && answer.isComplete;
          assert.ok(!isSuccess, `${route}, cut at ${cut} of ${length}: ${answer.body}`);
        }
      }
    });
  }
}

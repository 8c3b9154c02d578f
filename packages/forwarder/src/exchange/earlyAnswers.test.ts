import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  buildTestConfiguration,
  disconnectWorkers,
  readHeader,
  startForwarder,
  startTestFleet,
  startTestForwarder,
  startTestWorkers,
} from '../testing/index.js';

import type { Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { TestAnswer, TestForwarder } from '../testing/index.js';

const SUBNET = 39;

/** Size of an upload that no socket buffers completely, in bytes. */
const UPLOAD_BYTES = 12 * 1_024 * 1_024;
const CALLS = 6;
const KINDS = ['safe', 'unsafe', 'stream', 'resumable'];

/** Time between the part of the body and the reset, in milliseconds. */
const RESET_DELAYS_MS = [0, 2, 20];

const EVENT = 'id: 1\ndata: a\n\n';

/** Answers after the first bytes of an upload, reads no further and resets the connection after a delay. */
const answerEarly =
  (delayMs: number) =>
  (socket: Socket): void => {
    socket.once('data', (data: Buffer) => {
      socket.pause();
      const id = readHeader(data.toString('latin1'), 'request-id');
      const head = `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nseal: s\r\n\r\n`;
      socket.write(head + EVENT, () => setTimeout(() => socket.resetAndDestroy(), delayMs));
    });
  };

const startVm = async (
  context: TestContext,
  delayMs: number,
  isTunnel: boolean,
): Promise<TestForwarder> => {
  const workers = await startTestWorkers(context, [() => undefined, () => undefined]);
  for (const worker of workers) worker.rawScript = answerEarly(delayMs);
  const base = buildTestConfiguration();
  const configuration = { ...base, limits: { ...base.limits, bodyBytes: UPLOAD_BYTES } };
  if (!isTunnel) return startForwarder(context, { workers, configuration });
  const [vm] = await startTestFleet(context, { vms: 2, subnet: SUBNET, workers, configuration });
  assert.ok(vm !== undefined);
  disconnectWorkers(vm);
  return vm;
};

const isSuccess = ({ status, isComplete }: TestAnswer): boolean => status < 300 && isComplete;

// Guards against half an answer that looks whole: an answer without a length ends with its connection, and the failed write of
// the upload hides how that ended.
for (const isTunnel of [false, true]) {
  for (const delayMs of RESET_DELAYS_MS) {
    const way = isTunnel ? 'through another VM' : 'directly';
    test(`an early answer without a length that is reset during a long upload is a failure (${way}, after ${delayMs} ms)`, async (context) => {
      const vm = await startVm(context, delayMs, isTunnel);
      const upload = 'x'.repeat(UPLOAD_BYTES);
      for (const kind of KINDS) {
        for (let call = 0; call < CALLS; call += 1) {
          const answer = await vm.call(kind, { 'request-id': `${kind}-${call}` }, upload);
          assert.ok(!isSuccess(answer), `${kind}: ${JSON.stringify(answer)}`);
          // 503 would promise that the request has not run.
          const isTrue = answer.status === 502 || answer.status === 504 || !answer.isComplete;
          assert.ok(isTrue, `${kind}: ${JSON.stringify(answer)}`);
        }
      }
    });
  }
}

const INVALID_STATUSES = ['000', '0', '099', '600', '999', '2000', '20', 'abc', '2x0', '-200', ''];

// Guards against an answer whose status means nothing, which was passed on as the worker's answer.
for (const status of INVALID_STATUSES) {
  test(`an answer with status '${status}' is a failure of the worker and is not passed on`, async (context) => {
    const forwarder = await startTestForwarder(context, [
      (socket, head) =>
        socket.write(
          `HTTP/1.1 ${status} OK\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n` +
            `content-length: ${EVENT.length}\r\n\r\n${EVENT}`,
        ),
    ]);
    for (const kind of KINDS) {
      const answer = await forwarder.call(kind, {}, 'body');
      assert.equal(answer.status, 502, `${kind}: ${JSON.stringify(answer)}`);
      assert.ok(!answer.body.includes(EVENT));
    }
  });
}

import assert from 'node:assert/strict';
import { test } from 'node:test';

import { formatAnswer, startTestForwarder } from '../testing/index.js';
import { WorkerConnection } from './WorkerConnection.js';

/** Sends a request; returns the body of the answer, or the reason why there is none. */
const sendRequest = (connection: WorkerConnection): Promise<string> =>
  new Promise((resolve) => {
    let text = '';
    const handler = {
      onRequestStart: () => undefined,
      onResponseStart: () => undefined,
      onResponseData: (_controller: unknown, chunk: Buffer) => void (text += chunk.toString()),
      onResponseEnd: () => resolve(text),
      onResponseError: (_controller: unknown, error: Error) => resolve(error.message),
    };
    const guard = {
      shouldWrite: () => true,
      onTooLong: () => undefined,
      onTooSlow: () => undefined,
    };
    connection.send({ method: 'GET', path: '/' }, handler, guard);
  });

// Guards against a stream that goes on at a process that has not been verified: undici opens a new socket by itself.
test('a verified connection does not open another socket', async (context) => {
  const forwarder = await startTestForwarder(context, [
    (socket, head) => {
      const text = formatAnswer(head, 'done').replace('seal:', 'connection: close\r\nseal:');
      socket.end(text);
    },
  ]);
  const [worker] = forwarder.workers;
  assert.ok(worker !== undefined);
  const { dialer } = forwarder.state;
  const open = (): WorkerConnection =>
    new WorkerConnection(worker.address, dialer, () => undefined);
  const [plain, verified] = [open(), open()];
  assert.equal(await sendRequest(plain), 'done');
  assert.equal(await sendRequest(plain), 'done');
  assert.equal(await sendRequest(verified), 'done');
  verified.isVerified = true;
  assert.equal(await sendRequest(verified), 'the verified process has closed the connection');
  assert.equal(verified.isVerified, false);
  assert.equal(worker.heads.length, 3);
});

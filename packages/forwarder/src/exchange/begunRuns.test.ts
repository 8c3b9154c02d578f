import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { RunSign } from '../ForwarderState.js';
import {
  buildTestConfiguration,
  formatStream,
  readHeader,
  startTestForwarder,
  STREAM_END,
} from '../testing/index.js';

import type { TestContext } from 'node:test';
import type { TestForwarder, WorkerScript } from '../testing/index.js';

const EVENTS = ['a', 'b', 'c'];

/** Streams the events after Last-Event-Id, at first only one of them. */
const buildBreakingOnce = (): WorkerScript => {
  let isFirst = true;
  return (socket, head) => {
    const after = Number(readHeader(head, 'last-event-id') || 0);
    if (isFirst) socket.write(formatStream(head, EVENTS.slice(0, 1)), () => socket.destroy());
    else socket.write(formatStream(head, EVENTS.slice(after)) + STREAM_END);
    isFirst = false;
  };
};

const sendPlain: WorkerScript = (socket, head) =>
  socket.write(
    `HTTP/1.1 200 OK\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok`,
  );

/** Starts a forwarder whose key `k1` belongs to a workspace, and collects the begun runs. */
const startCounting = async (context: TestContext, scripts: readonly WorkerScript[]) => {
  const forwarder: TestForwarder = await startTestForwarder(context, scripts);
  const holder = { workspace: toBranded<never>('hule930'), priority: undefined };
  const keyHolders = new Map([['k1', holder]]);
  forwarder.state.apply(buildTestConfiguration({ version: 2, keyHolders }));
  const runs: string[] = [];
  forwarder.state.onRunBegun = (workspace, sign) => runs.push(`${workspace} ${sign}`);
  return { forwarder, runs };
};

// Guards against a request that is billed twice because its stream went on at another worker.
test('a stream that two workers send begins to run once', async (context) => {
  const script = buildBreakingOnce();
  const { forwarder, runs } = await startCounting(context, [script, script]);
  const answer = await forwarder.call('resumable', { key: 'k1' }, 'prompt');
  assert.equal(answer.isComplete, true);
  assert.equal(forwarder.workers.flatMap(({ heads }) => heads).length, 2);
  assert.deepEqual(runs, [`hule930 ${RunSign.FirstEvent}`]);
});

// Guards against a stream that is billed by each VM at which its caller resumes it.
test('a stream that its caller resumes does not begin again', async (context) => {
  const { forwarder, runs } = await startCounting(context, [
    (socket, head) => socket.write(formatStream(head, EVENTS) + STREAM_END),
  ]);
  const headers = { key: 'k1', 'last-event-id': '1' };
  const answer = await forwarder.call('resumable', headers, 'prompt');
  assert.equal(answer.status, 200);
  assert.deepEqual(runs, []);
});

test('a plain answer tells that its request has run, and a request without an answer has not', async (context) => {
  const { forwarder, runs } = await startCounting(context, [sendPlain]);
  assert.equal((await forwarder.call('safe', { key: 'k1' })).status, 200);
  assert.deepEqual(runs, [`hule930 ${RunSign.PlainAnswer}`]);
  const silent = await startCounting(context, [(socket) => socket.destroy()]);
  await silent.forwarder.call('unsafe', { key: 'k1' });
  assert.deepEqual(silent.runs, []);
});

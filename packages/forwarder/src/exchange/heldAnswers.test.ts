import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { toBranded } from '@sardinegrade/common';
import { MAX_HELD_ANSWER_BYTES } from '@sardinegrade/ingress';

import { buildTestConfiguration, readHeader, startTestForwarder } from '../testing/index.js';

import type { ServiceName } from '@sardinegrade/common';
import type { WorkerScript } from '../testing/index.js';

/** Number of answers that together need twice the memory that a VM has for them. */
const CALLS = 8;

const ANSWER_BYTES = (2 * MAX_HELD_ANSWER_BYTES) / CALLS;

/** Time limit of the requests, in milliseconds. */
const LIMIT_MS = 10_000;

const SERVICE = { name: toBranded<ServiceName>('desk'), connectionLimit: 100, engine: undefined };

// The memory is that of the VM: workers that answer are not at fault.
test('answers that exceed the memory of the VM are not taken for failures of their workers', async (context) => {
  const finishAnswers: (() => void)[] = [];
  const answerWithoutEnd: WorkerScript = (socket, head) => {
    socket.write(
      `HTTP/1.1 200 OK\r\nrequest-id: ${readHeader(head, 'request-id')}\r\nseal: s\r\n` +
        `content-length: ${ANSWER_BYTES}\r\n\r\n${'x'.repeat(ANSWER_BYTES - 1)}`,
    );
    finishAnswers.push(() => socket.write('x'));
  };
  const configuration = buildTestConfiguration();
  const routes = configuration.routes.map((route) => ({ ...route, timeoutMs: LIMIT_MS }));
  const scripts = [answerWithoutEnd, answerWithoutEnd];
  const forwarder = await startTestForwarder(context, scripts, { ...configuration, routes });
  const { state, workers, logLines } = forwarder;
  const headers = { 'deadline-ms': String(LIMIT_MS) };
  const calls = Array.from({ length: CALLS }, () => forwarder.call('unsafe', headers, 'body'));
  const countCancelled = (): number =>
    logLines.filter((line) => line.includes('send failed') && line.includes('exceed the memory'))
      .length;
  const deadlineAtMs = performance.now() + LIMIT_MS;
  while (countCancelled() < CALLS / 2 && performance.now() < deadlineAtMs) await sleep(5);
  for (const finishAnswer of finishAnswers) finishAnswer();
  const statuses = (await Promise.all(calls)).map(({ status }) => status);
  assert.deepEqual(statuses.sort(), [200, 200, 200, 200, 502, 502, 502, 502]);
  assert.equal(workers.flatMap(({ heads }) => heads).length, CALLS);
  const nowMs = state.options.getNowMs();
  const { records } = state.fleet.listCandidates(SERVICE, nowMs);
  assert.deepEqual(
    records.map(({ health }) => health.failureShare),
    [0, 0],
  );
});

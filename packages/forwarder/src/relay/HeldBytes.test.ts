import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { toBranded } from '@sardinegrade/common';

import { MAX_HELD_ANSWER_BYTES } from '../constants.js';
import { buildTestConfiguration, readHeader, startTestForwarder } from '../testing/index.js';
import { CancelOrder, HeldBytes } from './HeldBytes.js';

import type { ServiceName } from '@sardinegrade/common';
import type { WorkerScript } from '../testing/index.js';

/** Number of answers that together need twice the memory that a VM has for them. */
const CALLS = 8;

const ANSWER_BYTES = (2 * MAX_HELD_ANSWER_BYTES) / CALLS;

/** Time limit of the requests, in milliseconds. */
const LIMIT_MS = 10_000;

const SERVICE = { name: toBranded<ServiceName>('desk'), connectionLimit: 100, engine: undefined };

test('the largest answers are cancelled when all together exceed the limit', () => {
  const held = new HeldBytes({ maxBytes: 100, sparedBytes: 0, cancelOrder: CancelOrder.Largest });
  const cancelled: string[] = [];
  const buildCancel = (name: string) => (): void => {
    cancelled.push(name);
  };
  const small = buildCancel('small');
  const large = buildCancel('large');
  held.add(small, 10);
  held.add(large, 60);
  held.add(large, 20);
  assert.deepEqual([held.totalBytes, cancelled], [90, []]);
  held.add(small, 15);
  assert.deepEqual([held.totalBytes, cancelled], [25, ['large']]);
  held.remove(small);
  held.remove(large);
  assert.equal(held.totalBytes, 0);
});

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

test('messages that are whole or small count, and are not cancelled', () => {
  const held = new HeldBytes({ maxBytes: 100, sparedBytes: 10, cancelOrder: CancelOrder.Largest });
  const cancelled: string[] = [];
  const buildCancel = (name: string) => (): void => {
    cancelled.push(name);
  };
  const [whole, small, large] = ['whole', 'small', 'large'].map(buildCancel);
  assert.ok(whole !== undefined && small !== undefined && large !== undefined);
  held.add(whole, 95);
  held.keep(whole);
  held.add(small, 10);
  assert.deepEqual([held.totalBytes, cancelled], [105, []]);
  held.add(large, 11);
  assert.deepEqual([held.totalBytes, cancelled], [105, ['large']]);
  held.remove(whole);
  held.remove(small);
  assert.equal(held.totalBytes, 0);
});

// Guards against uploads of which none becomes whole: those that were nearly complete were cancelled first.
test('the newest message is cancelled, so that earlier ones become whole', () => {
  const held = new HeldBytes({ maxBytes: 100, sparedBytes: 10, cancelOrder: CancelOrder.Newest });
  const cancelled: string[] = [];
  const [first, second] = ['first', 'second'].map((name) => (): void => {
    cancelled.push(name);
  });
  assert.ok(first !== undefined && second !== undefined);
  held.add(first, 60);
  held.add(second, 30);
  held.add(first, 20);
  assert.deepEqual([held.totalBytes, cancelled], [80, ['second']]);
});

// Guards against small messages that are never cancelled, however many there are.
test('small messages are cancelled, the first ones first, beyond a quarter more or beyond their number', () => {
  const cancelled: number[] = [];
  const addAll = (maxOpen: number): HeldBytes => {
    cancelled.length = 0;
    const limits = { maxBytes: 100, sparedBytes: 10, cancelOrder: CancelOrder.Newest, maxOpen };
    const held = new HeldBytes(limits);
    for (let index = 0; index < 15; index += 1) held.add(() => cancelled.push(index), 10);
    return held;
  };
  assert.equal(addAll(Infinity).totalBytes, 120);
  assert.deepEqual(cancelled, [0, 1, 2]);
  assert.equal(addAll(10).openCount, 10);
  assert.deepEqual(cancelled, [0, 1, 2, 3, 4]);
});

test('the oldest message is cancelled where it has made no progress for the longest time', () => {
  const held = new HeldBytes({ maxBytes: 100, sparedBytes: 0, cancelOrder: CancelOrder.Oldest });
  const cancelled: string[] = [];
  for (const name of ['first', 'second', 'third']) held.add(() => cancelled.push(name), 40);
  assert.deepEqual([held.totalBytes, cancelled], [80, ['first']]);
});

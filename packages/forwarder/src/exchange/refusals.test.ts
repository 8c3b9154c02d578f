import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { toBranded } from '@sardinegrade/common';

import {
  buildTestConfiguration,
  formatAnswer,
  readHeader,
  startTestForwarder,
} from '../testing/index.js';
import { RefusedRequests } from '../waiting/index.js';

import type { Fingerprint, ServiceName } from '@sardinegrade/common';
import type { RoutingConfiguration } from '@sardinegrade/routing';

const buildFullConfiguration = (): RoutingConfiguration => {
  const engine = { slots: 1, cacheTokens: 600_000 };
  const desk = { name: toBranded<ServiceName>('desk'), connectionLimit: 100, engine };
  return buildTestConfiguration({ services: new Map([[desk.name, desk]]) });
};

test('a refusal is remembered for some seconds, and the oldest are forgotten first', () => {
  const refused = new RefusedRequests();
  const listNames = (count: number): readonly Fingerprint[] =>
    Array.from({ length: count }, (_, index) => toBranded<Fingerprint>(`f${index}`));
  for (const name of listNames(5_000)) refused.record(name, 0);
  assert.equal(refused.size, 4_096);
  const has = (name: string, nowMs: number): boolean => refused.has(toBranded(name), nowMs);
  assert.deepEqual([has('f0', 0), has('f4999', 9_000), has('f4999', 11_000)], [false, true, false]);
});

// Guards against requests that wait in vain until little of their time is left, and against a Retry-After that is too early.
test('what cannot be served in time is refused on arrival, and goes first when it returns', async (context) => {
  const answers: (() => void)[] = [];
  const forwarder = await startTestForwarder(
    context,
    [(socket, head) => answers.push(() => socket.write(formatAnswer(head, 'done')))],
    buildFullConfiguration(),
  );
  const { state, workers } = forwarder;
  const call = (id: string, tokens: string, body = id): ReturnType<typeof forwarder.call> =>
    forwarder.call('unsafe', { tokens, 'request-id': id }, body);
  const calls = [call('running', '10')];
  await sleep(50);
  // Some 1.1 s of prefill, while a request of this route may wait 1.2 s.
  calls.push(call('queued', '60000'));
  await sleep(50);
  state.sharedLoad.apply(
    {
      vm: toBranded('vm-1'),
      startedAtMs: 1,
      sequence: 1,
      engines: new Map(),
      waiting: { requests: 9, promptTokens: 200_000 },
      vmCount: 1,
    },
    performance.now(),
  );
  const refused = await call('early', '10', 'same');
  assert.equal(refused.status, 429);
  assert.match(refused.body, /"run":"not_run"/);
  const retryAfterMs = Number(refused.headers['retry-after']) * 1_000;
  assert.ok(retryAfterMs > 400 && retryAfterMs <= 1_900 / 3, `${retryAfterMs} ms`);
  state.sharedLoad.remove(toBranded('vm-1'));
  calls.push(call('back', '10', 'same'));
  await sleep(50);
  while (workers[0]?.heads.length !== calls.length) {
    answers.shift()?.();
    await sleep(5);
  }
  const ids = workers[0].heads.map((head) => readHeader(head, 'request-id'));
  assert.deepEqual(ids, ['running', 'back', 'queued']);
  answers.shift()?.();
  await Promise.all(calls);
});

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

import type { ServiceName } from '@sardinegrade/common';
import type { RoutingConfiguration } from '@sardinegrade/routing';

const SLOTS = 4;

/** Several passes over the queue. */
const SETTLE_MS = 150;

const buildRankedConfiguration = (): RoutingConfiguration => {
  const { routes, ...configuration } = buildTestConfiguration();
  const engine = { slots: SLOTS, cacheTokens: 600_000 };
  const desk = { name: toBranded<ServiceName>('desk'), connectionLimit: 100, engine };
  return {
    ...configuration,
    routes: routes.map((route) => ({ ...route, priority: route.name === 'safe' ? 0 : 2 })),
    services: new Map([[desk.name, desk]]),
  };
};

// Guards against urgent requests that are held at their VM while less urgent ones use all slots.
test('an urgent request is sent to an engine without a free slot, another one waits', async (context) => {
  const answers: (() => void)[] = [];
  const forwarder = await startTestForwarder(
    context,
    [(socket, head) => answers.push(() => socket.write(formatAnswer(head, 'done')))],
    buildRankedConfiguration(),
  );
  const call = (route: string, id: string): ReturnType<typeof forwarder.call> =>
    forwarder.call(route, { tokens: '10', 'request-id': id }, route === 'safe' ? undefined : 'b');
  const filling = Array.from({ length: SLOTS }, (_, index) => call('unsafe', `filling-${index}`));
  await sleep(SETTLE_MS);
  const rest = [call('unsafe', 'waiting'), call('safe', 'urgent')];
  await sleep(SETTLE_MS);
  const ids = (forwarder.workers[0]?.heads ?? []).map((head) => readHeader(head, 'request-id'));
  assert.deepEqual([ids.length, ids.at(-1), forwarder.state.queue.size], [SLOTS + 1, 'urgent', 1]);
  while (answers.length > 0 || forwarder.state.queue.size > 0) {
    answers.shift()?.();
    await sleep(5);
  }
  answers.shift()?.();
  const ended = await Promise.all([...filling, ...rest]);
  assert.ok(ended.every(({ status }) => status === 200));
});

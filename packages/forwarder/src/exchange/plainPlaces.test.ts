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

const SETTLE_MS = 60;

// Guards against requests that are sent to workers whose places other VMs have taken, only to be rejected.
test('requests to few plain workers wait by rank and due time while other VMs have taken all places', async (context) => {
  const { routes, ...configuration } = buildTestConfiguration();
  const ranked = routes.map((route) => ({ ...route, priority: route.name === 'safe' ? 0 : 2 }));
  const forwarder = await startTestForwarder(
    context,
    [(socket, head) => socket.write(formatAnswer(head, 'done'))],
    { ...configuration, routes: ranked },
  );
  const { state, workers } = forwarder;
  const [record] = state.fleet.listCandidates(
    { name: toBranded('desk'), connectionLimit: 100, engine: undefined },
    performance.now(),
  ).records;
  const report = (sequence: number, runs: number, vmCount = 20): void => {
    state.sharedLoad.apply(
      {
        vm: toBranded('vm-1'),
        startedAtMs: 1,
        sequence,
        engines: new Map([[record?.hash ?? 0, { backlogTokens: 0, runs }]]),
        waiting: { requests: 0, promptTokens: 0 },
        vmCount,
      },
      performance.now(),
    );
    state.queue.retryAll();
  };
  report(1, 12);
  const calls = [];
  for (const [id, route] of [
    ['old', 'unsafe'],
    ['young', 'unsafe'],
    ['urgent', 'safe'],
  ] as const) {
    calls.push(forwarder.call(route, { 'request-id': id }, route === 'safe' ? undefined : 'body'));
    await sleep(SETTLE_MS);
  }
  assert.deepEqual([workers[0]?.heads.length, state.queue.size], [0, 3]);
  report(2, 3);
  const answers = await Promise.all(calls);
  assert.ok(answers.every(({ status }) => status === 200));
  const ids = workers[0]?.heads.map((head) => readHeader(head, 'request-id'));
  assert.deepEqual(ids, ['urgent', 'old', 'young']);
  // In a fleet with enough workers the loads of other VMs do not count.
  report(3, 12, 2);
  assert.equal((await forwarder.call('safe')).status, 200);
  report(4, 12);
  const startedAtMs = performance.now();
  assert.equal((await forwarder.call('safe')).status, 200);
  const waitedMs = performance.now() - startedAtMs;
  assert.ok(waitedMs > 400 && waitedMs < 950, `${waitedMs} ms`);
});

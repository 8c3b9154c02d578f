import assert from 'node:assert/strict';
import { test } from 'node:test';

import { waitUntil } from '../harness/index.js';
import {
  assertAllComplete,
  buildRequests,
  startTestCluster,
  sendRequests,
  waitForStartedAttempts,
} from './support.js';

const SLOW_ENGINE_FLAGS = { 'token-interval-ms': 20 };

test('streams of an engine that is killed are completed by another engine', async (context) => {
  const cluster = await startTestCluster(context, [
    {
      name: 'dc-a',
      vms: [{}, {}],
      engines: [
        { slots: 4, flags: SLOW_ENGINE_FLAGS },
        { slots: 4, flags: SLOW_ENGINE_FLAGS },
      ],
    },
  ]);
  const sent = sendRequests(buildRequests('killed', 6, 100), cluster.addresses);
  await waitForStartedAttempts(cluster, 6);
  const killedEngine = cluster.engines[0];
  assert.ok(killedEngine !== undefined);
  await waitUntil(
    'the engine to be killed has generated tokens',
    async () => (await killedEngine.readCounts()).tokens > 20,
  );
  await killedEngine.abort();
  assertAllComplete(await sent, cluster);
});

test('answers that carry another attempt id are never relayed', async (context) => {
  const cluster = await startTestCluster(context, [
    {
      name: 'dc-a',
      vms: [{}],
      engines: [{ slots: 4 }, { slots: 4 }],
    },
  ]);
  await cluster.engines[0]?.setBehaviour({ wrong_attempt_id: true });
  for (let round = 0; round < 5; round += 1) {
    const requests = buildRequests(`crossed-${round}`, 4, 10);
    assertAllComplete(await sendRequests(requests, cluster.addresses), cluster);
  }
});

test('a leaving engine receives no new requests after 3 s and finishes those it has', async (context) => {
  const cluster = await startTestCluster(context, [
    { name: 'dc-a', vms: [{}, {}], engines: [{ slots: 4 }, { slots: 4 }] },
  ]);
  const [leavingEngine] = cluster.engines;
  assert.ok(leavingEngine !== undefined);
  const before = sendRequests(buildRequests('before', 6, 150), cluster.addresses);
  await waitForStartedAttempts(cluster, 6);
  await leavingEngine.setBehaviour({ leaving: true });
  const deadlineAtMs = Date.now() + 6_000;
  for (let round = 0; Date.now() < deadlineAtMs; round += 1) {
    const requests = buildRequests(`during-${round}`, 4, 5);
    assertAllComplete(await sendRequests(requests, cluster.addresses), cluster);
  }
  assertAllComplete(await before, cluster);
  const { lastReceivedAfterLeavingMs } = await leavingEngine.readCounts();
  assert.ok(lastReceivedAfterLeavingMs <= 3_000, `${lastReceivedAfterLeavingMs} ms`);
});

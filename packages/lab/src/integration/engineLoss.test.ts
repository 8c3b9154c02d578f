import assert from 'node:assert/strict';
import { test } from 'node:test';

import { waitUntil } from '../harness/index.js';
import { assertAllWhole, createRequests, openCluster, sendAll, waitStarted } from './support.js';

const SLOW = { 'token-interval-ms': 20 };

test('answers of an engine that is killed in mid-stream go on elsewhere, whole', async (context) => {
  const cluster = await openCluster(context, [
    {
      name: 'dc-a',
      vms: [{}, {}],
      engines: [
        { slots: 4, flags: SLOW },
        { slots: 4, flags: SLOW },
      ],
    },
  ]);
  const sent = sendAll(createRequests('killed', 6, 100), cluster.addresses);
  await waitStarted(cluster, 6);
  const victim = cluster.engines[0];
  assert.ok(victim !== undefined);
  await waitUntil(
    'the victim has made tokens',
    async () => (await victim.readCounts()).tokens > 20,
  );
  await victim.abort();
  assertAllWhole(await sent, cluster);
});

test('answers that carry another attempt id are never relayed', async (context) => {
  const cluster = await openCluster(context, [
    {
      name: 'dc-a',
      vms: [{}],
      engines: [{ slots: 4 }, { slots: 4 }],
    },
  ]);
  await cluster.engines[0]?.setBehaviour({ wrong_attempt_id: true });
  for (let round = 0; round < 5; round += 1) {
    const requests = createRequests(`crossed-${round}`, 4, 10);
    assertAllWhole(await sendAll(requests, cluster.addresses), cluster);
  }
});

test('a leaving engine gets nothing new after a few seconds, and finishes what it has', async (context) => {
  const cluster = await openCluster(context, [
    { name: 'dc-a', vms: [{}, {}], engines: [{ slots: 4 }, { slots: 4 }] },
  ]);
  const [leaving] = cluster.engines;
  assert.ok(leaving !== undefined);
  const before = sendAll(createRequests('before', 6, 150), cluster.addresses);
  await waitStarted(cluster, 6);
  await leaving.setBehaviour({ leaving: true });
  const deadlineAtMs = Date.now() + 6_000;
  for (let round = 0; Date.now() < deadlineAtMs; round += 1) {
    const requests = createRequests(`during-${round}`, 4, 5);
    assertAllWhole(await sendAll(requests, cluster.addresses), cluster);
  }
  assertAllWhole(await before, cluster);
  const { lastReceivedAfterLeavingMs } = await leaving.readCounts();
  assert.ok(lastReceivedAfterLeavingMs <= 3_000, `${lastReceivedAfterLeavingMs} ms`);
});

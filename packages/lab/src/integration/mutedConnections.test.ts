import { test } from 'node:test';

import { assertAllWhole, createRequests, openCluster, sendAll, waitStarted } from './support.js';

const SLOW = { 'token-interval-ms': 20 };

test('streams on connections that go mute are resumed over new ones, whole', async (context) => {
  const engine = { slots: 4, flags: SLOW, hasProxy: true };
  const cluster = await openCluster(context, [
    { name: 'dc-a', vms: [{}, {}], engines: [engine, engine] },
  ]);
  const sent = sendAll(createRequests('muted', 6, 100), cluster.addresses);
  await waitStarted(cluster, 6);
  for (const { proxy } of cluster.engines) proxy?.pauseExisting();
  assertAllWhole(await sent, cluster);
  const after = createRequests('after', 8, 10);
  assertAllWhole(await sendAll(after, cluster.addresses), cluster);
});

test('daemons whose connections to each other go mute find new ones', async (context) => {
  const vm = { hasPeerProxy: true };
  const cluster = await openCluster(context, [
    { name: 'dc-a', vms: [vm, vm, vm], engines: [{ slots: 2, flags: SLOW }] },
  ]);
  const { others } = cluster.findDispatcher('dc-a');
  const addresses = others.map(({ callers }) => callers);
  const sent = sendAll(createRequests('muted', 8, 30), addresses);
  await waitStarted(cluster, 2);
  for (const { peerProxy } of cluster.entries) peerProxy?.pauseExisting();
  assertAllWhole(await sent, cluster);
  const after = createRequests('after', 8, 10);
  assertAllWhole(await sendAll(after, cluster.addresses), cluster);
});

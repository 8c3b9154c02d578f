import { test } from 'node:test';

import {
  assertAllComplete,
  buildRequests,
  startTestCluster,
  sendRequests,
  waitForStartedAttempts,
} from './support.js';

const SLOW_ENGINE_FLAGS = { 'token-interval-ms': 20 };

test('streams are resumed over new connections and completed when their engine connections go silent', async (context) => {
  const engine = { slots: 4, flags: SLOW_ENGINE_FLAGS, hasProxy: true };
  const cluster = await startTestCluster(context, [
    { name: 'dc-a', vms: [{}, {}], engines: [engine, engine] },
  ]);
  const sent = sendRequests(buildRequests('muted', 6, 100), cluster.addresses);
  await waitForStartedAttempts(cluster, 6);
  for (const { proxy } of cluster.engines) proxy?.pauseExisting();
  assertAllComplete(await sent, cluster);
  const after = buildRequests('after', 8, 10);
  assertAllComplete(await sendRequests(after, cluster.addresses), cluster);
});

test('daemons open new connections to each other when the existing ones go silent', async (context) => {
  const vm = { hasPeerProxy: true };
  const cluster = await startTestCluster(context, [
    { name: 'dc-a', vms: [vm, vm, vm], engines: [{ slots: 2, flags: SLOW_ENGINE_FLAGS }] },
  ]);
  const { others } = cluster.findDispatcher('dc-a');
  const addresses = others.map(({ callers }) => callers);
  const sent = sendRequests(buildRequests('muted', 8, 30), addresses);
  await waitForStartedAttempts(cluster, 2);
  for (const { peerProxy } of cluster.entries) peerProxy?.pauseExisting();
  assertAllComplete(await sent, cluster);
  const after = buildRequests('after', 8, 10);
  assertAllComplete(await sendRequests(after, cluster.addresses), cluster);
});

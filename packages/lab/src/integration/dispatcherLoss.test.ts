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

import type { Cluster } from '../harness/index.js';

const THREE_VMS = [{}, {}, {}];
const SLOW_ENGINE_FLAGS = { 'token-interval-ms': 20 };

const countReceived = async (cluster: Cluster): Promise<number> => {
  const counts = await Promise.all(cluster.engines.map((engine) => engine.readCounts()));
  return counts.reduce((sum, { received }) => sum + received, 0);
};

test('requests queued at a dispatcher that is killed are served by its successor', async (context) => {
  const cluster = await startTestCluster(context, [
    { name: 'dc-a', vms: THREE_VMS, engines: [{ slots: 2, flags: SLOW_ENGINE_FLAGS }] },
  ]);
  const { dispatcher, others } = cluster.findDispatcher('dc-a');
  const addresses = others.map(({ callers }) => callers);
  const sent = sendRequests(buildRequests('queued', 12, 40), addresses);
  await waitForStartedAttempts(cluster, 2);
  await dispatcher.process.abort();
  assertAllComplete(await sent, cluster);
});

test('a suspended dispatcher is replaced, and no request fails before or after it resumes', async (context) => {
  const cluster = await startTestCluster(context, [
    { name: 'dc-a', vms: THREE_VMS, engines: [{ slots: 2, flags: SLOW_ENGINE_FLAGS }] },
  ]);
  const { dispatcher, others } = cluster.findDispatcher('dc-a');
  const addresses = others.map(({ callers }) => callers);
  const before = sendRequests(buildRequests('before', 6, 40), addresses);
  await waitForStartedAttempts(cluster, 2);
  dispatcher.process.sendSignal('SIGSTOP');
  const during = sendRequests(buildRequests('during', 6, 20), addresses);
  assertAllComplete([...(await before), ...(await during)], cluster);
  dispatcher.process.sendSignal('SIGCONT');
  const after = buildRequests('after', 6, 20);
  assertAllComplete(await sendRequests(after, [...addresses, dispatcher.callers]), cluster);
});

test('a daemon that receives SIGTERM finishes its requests, and its queue moves to the next dispatcher', async (context) => {
  const cluster = await startTestCluster(context, [
    { name: 'dc-a', vms: THREE_VMS, engines: [{ slots: 2, flags: SLOW_ENGINE_FLAGS }] },
  ]);
  const { dispatcher, others } = cluster.findDispatcher('dc-a');
  const all = [dispatcher, ...others].map(({ callers }) => callers);
  const sent = sendRequests(buildRequests('leaving', 12, 40), all);
  await waitUntil(
    'the engine has received requests',
    async () => (await countReceived(cluster)) >= 2,
  );
  dispatcher.process.sendSignal('SIGTERM');
  assertAllComplete(await sent, cluster);
  assert.equal(await dispatcher.process.exited, 0, dispatcher.process.stderr);
});

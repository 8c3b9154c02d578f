import assert from 'node:assert/strict';
import { test } from 'node:test';

import { waitUntil } from '../harness/index.js';
import { assertAllWhole, createRequests, openCluster, sendAll, waitStarted } from './support.js';

import type { Cluster } from '../harness/index.js';

const THREE_VMS = [{}, {}, {}];
const SLOW = { 'token-interval-ms': 20 };

const countReceived = async (cluster: Cluster): Promise<number> => {
  const counts = await Promise.all(cluster.engines.map((engine) => engine.readCounts()));
  return counts.reduce((sum, { received }) => sum + received, 0);
};

test('requests that wait with a dispatcher which is killed are served by the next one', async (context) => {
  const cluster = await openCluster(context, [
    { name: 'dc-a', vms: THREE_VMS, engines: [{ slots: 2, flags: SLOW }] },
  ]);
  const { dispatcher, others } = cluster.findDispatcher('dc-a');
  const addresses = others.map(({ callers }) => callers);
  const sent = sendAll(createRequests('queued', 12, 40), addresses);
  await waitStarted(cluster, 2);
  await dispatcher.process.abort();
  assertAllWhole(await sent, cluster);
});

test('a dispatcher that is paused is passed over, and does no harm when it goes on', async (context) => {
  const cluster = await openCluster(context, [
    { name: 'dc-a', vms: THREE_VMS, engines: [{ slots: 2, flags: SLOW }] },
  ]);
  const { dispatcher, others } = cluster.findDispatcher('dc-a');
  const addresses = others.map(({ callers }) => callers);
  const before = sendAll(createRequests('before', 6, 40), addresses);
  await waitStarted(cluster, 2);
  dispatcher.process.sendSignal('SIGSTOP');
  const during = sendAll(createRequests('during', 6, 20), addresses);
  assertAllWhole([...(await before), ...(await during)], cluster);
  dispatcher.process.sendSignal('SIGCONT');
  const after = createRequests('after', 6, 20);
  assertAllWhole(await sendAll(after, [...addresses, dispatcher.callers]), cluster);
});

test('a daemon that is asked to stop finishes what it has, and its queue is handed on', async (context) => {
  const cluster = await openCluster(context, [
    { name: 'dc-a', vms: THREE_VMS, engines: [{ slots: 2, flags: SLOW }] },
  ]);
  const { dispatcher, others } = cluster.findDispatcher('dc-a');
  const all = [dispatcher, ...others].map(({ callers }) => callers);
  const sent = sendAll(createRequests('leaving', 12, 40), all);
  await waitUntil('requests are with the engine', async () => (await countReceived(cluster)) >= 2);
  dispatcher.process.sendSignal('SIGTERM');
  assertAllWhole(await sent, cluster);
  assert.equal(await dispatcher.process.exited, 0, dispatcher.process.stderr);
});

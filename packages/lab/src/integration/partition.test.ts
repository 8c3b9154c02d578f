import { test } from 'node:test';

import { assertAllWhole, createRequests, openCluster, sendAll } from './support.js';

import type { Cluster } from '../harness/index.js';

const setPartition = (cluster: Cluster, isCut: boolean): void => {
  const direction = { isMuted: isCut };
  const faults = { up: direction, down: direction };
  for (const { peerProxy } of cluster.entries) peerProxy?.setFaults(faults);
  for (const proxy of cluster.platformProxies.values()) proxy.setFaults(faults);
};

test('data centres cut off from each other and from the platform go on serving', async (context) => {
  const vm = { hasPeerProxy: true };
  const cluster = await openCluster(
    context,
    [
      { name: 'dc-a', vms: [vm], engines: [{ slots: 4 }] },
      { name: 'dc-b', vms: [vm], engines: [{ slots: 4 }] },
    ],
    { hasPlatformProxies: true },
  );
  assertAllWhole(await sendAll(createRequests('before', 8, 10), cluster.addresses), cluster);
  setPartition(cluster, true);
  for (let round = 0; round < 4; round += 1) {
    const requests = createRequests(`during-${round}`, 8, 20);
    assertAllWhole(await sendAll(requests, cluster.addresses), cluster);
  }
  setPartition(cluster, false);
  assertAllWhole(await sendAll(createRequests('after', 8, 10), cluster.addresses), cluster);
});

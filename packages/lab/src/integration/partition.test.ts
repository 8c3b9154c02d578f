import { test } from 'node:test';

import { assertAllComplete, buildRequests, startTestCluster, sendRequests } from './support.js';

import type { Cluster } from '../harness/index.js';

const setPartition = (cluster: Cluster, isPartitioned: boolean): void => {
  const direction = { isMuted: isPartitioned };
  const faults = { up: direction, down: direction };
  for (const { peerProxy } of cluster.entries) peerProxy?.setFaults(faults);
  for (const proxy of cluster.platformProxies.values()) proxy.setFaults(faults);
};

test('data centres partitioned from each other and from the platform continue to serve requests', async (context) => {
  const vm = { hasPeerProxy: true };
  const cluster = await startTestCluster(
    context,
    [
      { name: 'dc-a', vms: [vm], engines: [{ slots: 4 }] },
      { name: 'dc-b', vms: [vm], engines: [{ slots: 4 }] },
    ],
    { hasPlatformProxies: true },
  );
  assertAllComplete(await sendRequests(buildRequests('before', 8, 10), cluster.addresses), cluster);
  setPartition(cluster, true);
  for (let round = 0; round < 4; round += 1) {
    const requests = buildRequests(`during-${round}`, 8, 20);
    assertAllComplete(await sendRequests(requests, cluster.addresses), cluster);
  }
  setPartition(cluster, false);
  assertAllComplete(await sendRequests(buildRequests('after', 8, 10), cluster.addresses), cluster);
});

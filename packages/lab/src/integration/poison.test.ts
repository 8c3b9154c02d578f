import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, RunState } from '@sardinegrade/common';

import { waitUntil } from '../harness/index.js';
import { assertAllWhole, createRequests, openCluster, sendAll } from './support.js';

import type { RequestResult } from '../load/index.js';

const MARKER = 'crack-the-engine';
const ENGINES = 4;
const RESENDS = 15;
const ENGINES_LOST_LIMIT = 2;

const isQuarantined = ({ code, run }: RequestResult): boolean =>
  code === ResultCode.Quarantined && run === RunState.NotRun;

test('a poison request resent for ever costs at most two engines, and healthy ones are served', async (context) => {
  const engine = { slots: 4, flags: { 'crash-marker': MARKER } };
  const engines = Array.from({ length: ENGINES }, () => engine);
  const cluster = await openCluster(context, [{ name: 'dc-a', vms: [{}, {}, {}], engines }]);
  const [poison] = createRequests(MARKER, 1, 10);
  assert.ok(poison !== undefined);
  let last: RequestResult | undefined;
  for (let turn = 0; turn < RESENDS; turn += 1) {
    const healthy = sendAll(createRequests(`healthy-${turn}`, 4, 20), cluster.addresses);
    const address = cluster.addresses[turn % cluster.addresses.length] ?? '';
    [last] = await sendAll([poison], [address]);
    assertAllWhole(await healthy, cluster);
  }
  const crashes = cluster.engines.reduce((sum, { crashes: count }) => sum + count, 0);
  assert.ok(crashes <= ENGINES_LOST_LIMIT, `${crashes} engines lost`);
  assert.ok(last !== undefined && isQuarantined(last), JSON.stringify(last));
  await waitUntil('every daemon refuses the request', async () => {
    const results = await Promise.all(
      cluster.addresses.map(async (address) => sendAll([poison], [address])),
    );
    return results.flat().every(isQuarantined);
  });
});

import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, RunState } from '@sardinegrade/common';

import { waitUntil } from '../harness/index.js';
import { assertAllComplete, buildRequests, startTestCluster, sendRequests } from './support.js';

import type { RequestResult } from '../load/index.js';

const CRASH_MARKER = 'crack-the-engine';
const ENGINE_COUNT = 4;
const REPEAT_COUNT = 15;
const MAX_ENGINE_CRASHES = 2;

const isQuarantined = ({ code, run }: RequestResult): boolean =>
  code === ResultCode.Quarantined && run === RunState.NotRun;

test('a poison request that is repeated crashes at most two engines, and other requests are served', async (context) => {
  const engine = { slots: 4, flags: { 'crash-marker': CRASH_MARKER } };
  const engines = Array.from({ length: ENGINE_COUNT }, () => engine);
  const cluster = await startTestCluster(context, [{ name: 'dc-a', vms: [{}, {}, {}], engines }]);
  const [poisonRequest] = buildRequests(CRASH_MARKER, 1, 10);
  assert.ok(poisonRequest !== undefined);
  let last: RequestResult | undefined;
  for (let turn = 0; turn < REPEAT_COUNT; turn += 1) {
    const healthy = sendRequests(buildRequests(`healthy-${turn}`, 4, 20), cluster.addresses);
    const address = cluster.addresses[turn % cluster.addresses.length] ?? '';
    [last] = await sendRequests([poisonRequest], [address]);
    assertAllComplete(await healthy, cluster);
  }
  const crashes = cluster.engines.reduce((sum, { crashes: count }) => sum + count, 0);
  assert.ok(crashes <= MAX_ENGINE_CRASHES, `${crashes} engines lost`);
  assert.ok(last !== undefined && isQuarantined(last), JSON.stringify(last));
  await waitUntil('every daemon refuses the request', async () => {
    const results = await Promise.all(
      cluster.addresses.map(async (address) => sendRequests([poisonRequest], [address])),
    );
    return results.flat().every(isQuarantined);
  });
});

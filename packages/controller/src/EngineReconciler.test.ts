import assert from 'node:assert/strict';
import { test } from 'node:test';

import { LogFormat, LogLevel, createLogger, toBranded } from '@sardinegrade/common';
import { ConfigurationStore } from '@sardinegrade/fleet';
import { createMemoryPlatform } from '@sardinegrade/platform';

import { EngineReconciler } from './EngineReconciler.js';
import { OrderOutcome } from './orders/index.js';

import type { EngineClient, EngineOrder, EngineState } from './orders/index.js';

const CLOCK = { getNowMs: () => 1_000 };
const EMPTY_STATE: EngineState = {
  models: [],
  adapters: [],
  versions: {},
  role: undefined,
  fencing: 0,
  loading: [],
};
const ENGINES = [1, 2, 3]
  .map(
    (port) =>
      `[upstream.e${port}]\npool = p\ndata_centre = dc-a\naddress = http://127.0.0.1:${port}\n`,
  )
  .join('');
const CONFIGURATION_TEXT = `[service.s]\nkind = model\nmodel = m\npool = p\n[service.s.class.c]\ntier = paying\n${ENGINES}`;

interface Lease {
  fencing: number | undefined;
  fencedCount: number;
}

const createReconciler = async (outcome: OrderOutcome, lease: Lease, onRead = () => undefined) => {
  const platform = createMemoryPlatform();
  const store = new ConfigurationStore({ platform, clock: CLOCK, getHighestGeneration: () => 0 });
  await store.apply({ baseGeneration: 0, author: 'ann', changeId: 'c', text: CONFIGURATION_TEXT });
  const sent: { readonly order: EngineOrder; readonly fencing: number }[] = [];
  const engines: EngineClient = {
    readState: () => {
      onRead();
      return Promise.resolve(EMPTY_STATE);
    },
    send: (order, { fencing }) => {
      sent.push({ order, fencing });
      return Promise.resolve(outcome);
    },
    close: () => Promise.resolve(),
  };
  const reconciler = new EngineReconciler({
    dataCentre: toBranded('dc-a'),
    platform,
    engines,
    lease: {
      getFencing: () => lease.fencing,
      reportFenced: () => {
        lease.fencedCount += 1;
        lease.fencing = undefined;
      },
    },
    clock: CLOCK,
    logger: createLogger({
      level: LogLevel.Error,
      format: LogFormat.Json,
      output: { write: () => true },
    }),
    deadlineMs: 100,
    loadDeadlineMs: 1_000,
    limits: { parallelLoads: 2, loadsPerMinute: 600_000_000 },
  });
  return { reconciler, sent };
};

test('orders carry the fencing number and respect the limits of the weight store', async () => {
  const { reconciler, sent } = await createReconciler(OrderOutcome.Done, {
    fencing: 7,
    fencedCount: 0,
  });
  await reconciler.syncEngines();
  await reconciler.stop();
  // The clock does not advance, so only the first load is due.
  assert.deepEqual(
    sent.map(({ order, fencing }) => [order.upstream.id, fencing]),
    [['e1', 7]],
  );
});

test('no order is sent without the lease, or if the lease expires after the order was planned', async () => {
  const idle = await createReconciler(OrderOutcome.Done, { fencing: undefined, fencedCount: 0 });
  await idle.reconciler.syncEngines();
  assert.equal(idle.sent.length, 0);
  const lease: Lease = { fencing: 7, fencedCount: 0 };
  const lapsing = await createReconciler(OrderOutcome.Done, lease, () => {
    lease.fencing = undefined;
  });
  await lapsing.reconciler.syncEngines();
  await lapsing.reconciler.stop();
  assert.equal(lapsing.sent.length, 0);
});

test('a lease holder steps down when an engine has seen a higher fencing number', async () => {
  const lease: Lease = { fencing: 7, fencedCount: 0 };
  const { reconciler } = await createReconciler(OrderOutcome.Stale, lease);
  await reconciler.syncEngines();
  await reconciler.stop();
  assert.equal(lease.fencedCount, 1);
  assert.deepEqual(reconciler.getCounts(), { done: 0, stale: 1, failed: 0 });
});

import assert from 'node:assert/strict';
import { test } from 'node:test';

import { LogFormat, LogLevel, createLogger, toBranded } from '@sardinegrade/common';
import { ConfigurationStore } from '@sardinegrade/fleet';
import { createMemoryPlatform } from '@sardinegrade/platform';

import { OrderKeeper } from './OrderKeeper.js';
import { OrderOutcome } from './orders/index.js';

import type { EngineClient, EngineOrder, EngineState } from './orders/index.js';

const CLOCK = { getNowMs: () => 1_000 };
const EMPTY: EngineState = {
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
const TEXT = `[service.s]\nkind = model\nmodel = m\npool = p\n[service.s.class.c]\ntier = paying\n${ENGINES}`;

interface Lease {
  fencing: number | undefined;
  outranked: number;
}

const createKeeper = async (outcome: OrderOutcome, lease: Lease, onRead = () => undefined) => {
  const platform = createMemoryPlatform();
  const store = new ConfigurationStore({ platform, clock: CLOCK, getHighest: () => 0 });
  await store.apply({ baseGeneration: 0, author: 'ann', changeId: 'c', text: TEXT });
  const sent: { readonly order: EngineOrder; readonly fencing: number }[] = [];
  const engines: EngineClient = {
    readState: () => {
      onRead();
      return Promise.resolve(EMPTY);
    },
    send: (order, { fencing }) => {
      sent.push({ order, fencing });
      return Promise.resolve(outcome);
    },
    close: () => Promise.resolve(),
  };
  const keeper = new OrderKeeper({
    dataCentre: toBranded('dc-a'),
    platform,
    engines,
    lease: {
      getFencing: () => lease.fencing,
      noteOutranked: () => {
        lease.outranked += 1;
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
  return { keeper, sent };
};

test('orders carry the fencing number and keep to the limits of the weight store', async () => {
  const { keeper, sent } = await createKeeper(OrderOutcome.Done, { fencing: 7, outranked: 0 });
  await keeper.syncEngines();
  await keeper.stop();
  // Time stands still here, so that only the first load is due.
  assert.deepEqual(
    sent.map(({ order, fencing }) => [order.upstream.id, fencing]),
    [['e1', 7]],
  );
});

test('without the lease no engine is asked, and a lease that lapses after the plan stops the order', async () => {
  const idle = await createKeeper(OrderOutcome.Done, { fencing: undefined, outranked: 0 });
  await idle.keeper.syncEngines();
  assert.equal(idle.sent.length, 0);
  const lease: Lease = { fencing: 7, outranked: 0 };
  const lapsing = await createKeeper(OrderOutcome.Done, lease, () => {
    lease.fencing = undefined;
  });
  await lapsing.keeper.syncEngines();
  await lapsing.keeper.stop();
  assert.equal(lapsing.sent.length, 0);
});

test('a holder that an engine has outranked steps down', async () => {
  const lease: Lease = { fencing: 7, outranked: 0 };
  const { keeper } = await createKeeper(OrderOutcome.Stale, lease);
  await keeper.syncEngines();
  await keeper.stop();
  assert.equal(lease.outranked, 1);
  assert.deepEqual(keeper.getCounts(), { done: 0, stale: 1, failed: 0 });
});

import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, toBranded } from '@sardinegrade/common';
import { parseConfiguration } from '@sardinegrade/fleet';
import { OrderState } from '@sardinegrade/orders';

import { TEST_TEXT } from '../testing/createTestContext.js';
import { describeOrder } from '../views/index.js';
import { listQueues, listUpstreamStates } from './dispatchStates.js';
import { createOrderAdministration } from './orderAdministration.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { OrderOperations, OrderRecord, StoredOrder } from '@sardinegrade/orders';

const createOrder = (number: number): StoredOrder => {
  const record: OrderRecord = {
    state: OrderState.Unknown,
    workspace: toBranded('rig-desk'),
    service: toBranded('booking'),
    key: `bit-${number}`,
    fingerprint: 'f',
    requestId: toBranded(`r${number}`),
    traceparent: '',
    owner: toBranded('vm-1'),
    attemptId: toBranded('a'),
    acceptedAtMs: 0,
    retentionMs: 0,
    audit: [],
  };
  return { name: `order-${number}`, version: number, record };
};

/** Serves pages of two records; a filter keeps the first two of every four. */
const createOperations = (count: number): OrderOperations => ({
  listOrders: ({ after }) => {
    const start = after === undefined ? 0 : Number(after.split('-')[1]);
    const numbers = [start + 1, start + 2].filter((number) => number <= count);
    const orders = numbers.filter((number) => [1, 2].includes(number % 4)).map(createOrder);
    const last = start + 2;
    return Promise.resolve({ orders, next: last < count ? `order-${last}` : undefined });
  },
  showOrder: () => Promise.reject(new Error('not used')),
  settleOrder: () => Promise.reject(new Error('not used')),
});

const QUERY = {
  workspace: undefined,
  service: undefined,
  state: undefined,
  after: undefined,
  limit: 3,
};

test('store pages are joined up to the limit, and `next` continues after the last order', async () => {
  const orders = createOrderAdministration(createOperations(12));
  const seen: string[] = [];
  let after: string | undefined;
  do {
    const page = await orders.list({ ...QUERY, after });
    assert.ok(page.orders.length <= 3);
    seen.push(...page.orders.map(({ key }) => key));
    after = page.next;
  } while (after !== undefined);
  assert.deepEqual(seen, ['bit-1', 'bit-2', 'bit-5', 'bit-6', 'bit-9', 'bit-10']);
});

test('one list request reads a bounded number of store pages', async () => {
  let calls = 0;
  const orders = createOrderAdministration({
    ...createOperations(0),
    listOrders: () => {
      calls += 1;
      return Promise.resolve({ orders: [], next: `order-${calls}` });
    },
  });
  const page = await orders.list(QUERY);
  assert.deepEqual(page, { orders: [], next: 'order-10' });
});

test('an unknown state is refused, and the error lists the known states', async () => {
  const orders = createOrderAdministration(createOperations(0));
  await assert.rejects(() => orders.list({ ...QUERY, state: 'lost' }), {
    code: ResultCode.InvalidField,
    message: /accepted, dispatching, done, unknown, not_run/,
  });
});

test('an upstream that the fleet reports as down is not in use, whatever the dispatcher reports', () => {
  const snapshot = {
    queuedByClass: { 'counter/query': 2 },
    upstreams: ['e1', 'e2'].map((id) => ({
      upstream: toBranded<UpstreamId>(id),
      granted: 3,
      limit: 8,
      health: id === 'e1' ? 'reduced' : 'suspended',
    })),
  };
  const configuration = parseConfiguration(TEST_TEXT, 1);
  const states = listUpstreamStates([snapshot], configuration, (id) => id === 'd1');
  assert.deepEqual(
    states.map(({ upstream, health, isInUse }) => [upstream, health, isInUse]),
    [
      ['e1', 'reduced', true],
      ['e2', 'suspended', false],
      ['d1', 'down', false],
    ],
  );
  assert.deepEqual(listQueues([snapshot, snapshot]), [
    { service: 'counter', className: 'query', queued: 4 },
  ]);
});

test('the settlement token of a shown order is passed on when it is settled as not run', async () => {
  const stored = createOrder(1);
  const settled: (string | undefined)[] = [];
  const orders = createOrderAdministration({
    ...createOperations(0),
    showOrder: () => Promise.resolve({ stored, notRunWaitMs: 0, settlementToken: 'settleable-1' }),
    settleOrder: ({ settlementToken }) => {
      settled.push(settlementToken);
      return Promise.resolve(stored);
    },
  });
  const { workspace, service, key } = stored.record;
  const reference = { workspace, service, key };
  const shown = await orders.show(reference);
  assert.ok(shown !== undefined);
  const view = describeOrder(shown);
  assert.equal(view.settlement_token, 'settleable-1');
  const settlement = { wasRun: false, reason: 'not in the ledger', operator: 'ann' };
  await orders.settle(reference, { ...settlement, settlementToken: view.settlement_token });
  assert.deepEqual(settled, ['settleable-1']);
});

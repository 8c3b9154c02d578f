import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { parseConfiguration } from '@sardinegrade/fleet';
import fc from 'fast-check';

import { deriveOrders } from './deriveOrders.js';
import { OrderKind } from './enums.js';

import type { DataCentreName, UpstreamId } from '@sardinegrade/common';
import type { EngineOrder, EngineState, PlanInput } from './types.js';

const SEED = 20261204;
const DATA_CENTRE = toBranded<DataCentreName>('dc-a');
const MODELS = ['drill-7b', 'report-70b', 'old-1b', 'chat-3b'];

const createText = (engines: number, pool: string): string => {
  const upstreams = Array.from(
    { length: engines },
    (_, index) =>
      `[upstream.e${index}]\npool = engines\ndata_centre = dc-a\naddress = http://127.0.0.1:${9000 + index}\n`,
  );
  return `[service.report]
kind = model
model = report-70b
pool = engines
[service.report.class.history]
tier = free
[service.counter]
kind = model
model = drill-7b
pool = engines
[service.counter.class.query]
tier = paying
${upstreams.join('')}[pool.engines]
${pool}`;
};

const createState = (models: readonly string[] = [], changes: Partial<EngineState> = {}) => ({
  models,
  adapters: [],
  versions: {},
  role: undefined,
  fencing: 0,
  loading: [],
  ...changes,
});

const createInput = (
  text: string,
  states: readonly (EngineState | undefined)[],
  busy: readonly string[] = [],
): PlanInput => ({
  configuration: parseConfiguration(text, 1),
  dataCentre: DATA_CENTRE,
  actual: new Map(
    states.flatMap((state, index) =>
      state === undefined ? [] : [[toBranded<UpstreamId>(`e${index}`), state] as const],
    ),
  ),
  busy: new Set(busy.map((id) => toBranded<UpstreamId>(id))),
});

const describe = (orders: readonly EngineOrder[]): readonly string[] =>
  orders.map(({ kind, upstream, model, version, adapter, role }) =>
    [kind, upstream.id, model, version, adapter, role].filter((part) => part).join(' '),
  );

test('models of paying services are loaded first, with one load per engine', () => {
  const input = createInput(createText(2, ''), [createState(), createState()]);
  assert.deepEqual(describe(deriveOrders(input)), ['load e0 drill-7b', 'load e1 drill-7b']);
  const next = createInput(createText(2, ''), [createState(['drill-7b']), createState()]);
  assert.deepEqual(describe(deriveOrders(next)), ['load e1 drill-7b', 'load e0 report-70b']);
});

test('a version is replaced on one engine at a time; adapters and roles are ordered', () => {
  const text = createText(2, 'models[] = drill-7b@2+rigs\nrole = decode');
  const old = createState(['drill-7b'], { versions: { 'drill-7b': '1' } });
  assert.deepEqual(describe(deriveOrders(createInput(text, [old, old]))), [
    'load e0 drill-7b 2 rigs',
    'role e0 decode',
    'role e1 decode',
  ]);
});

test('the last copy of a model that a service needs is kept, and models without a use are unloaded', () => {
  const text = createText(2, 'models[] = chat-3b');
  const loaded = createState(['chat-3b', 'drill-7b', 'old-1b']);
  assert.deepEqual(describe(deriveOrders(createInput(text, [loaded, loaded]))), [
    'unload e0 drill-7b',
    'unload e0 old-1b',
    'unload e1 old-1b',
  ]);
});

test('the models of an engine with a pending order do not count as copies', () => {
  const text = createText(2, 'models[] = chat-3b');
  const loaded = createState(['chat-3b', 'drill-7b']);
  assert.deepEqual(describe(deriveOrders(createInput(text, [loaded, loaded], ['e0']))), []);
});

const STATE = fc
  .record({
    models: fc.subarray(MODELS),
    adapters: fc.subarray(['rigs', 'desk']),
    isReachable: fc.boolean(),
  })
  .map(({ isReachable, ...state }) => (isReachable ? { ...createState(), ...state } : undefined));
const POOL = fc.record({
  wanted: fc.subarray(['drill-7b@2', 'report-70b', 'chat-3b+rigs', 'drill-7b+desk']),
  copies: fc.nat(3),
});

const applyOrder = (state: EngineState, order: EngineOrder): EngineState => {
  const { kind, model, version, adapter } = order;
  if (kind === OrderKind.Role) return { ...state, role: order.role };
  if (kind === OrderKind.Unload) {
    return {
      ...state,
      models: state.models.filter((loaded) => loaded !== model),
      adapters: state.adapters.filter((loaded) => loaded !== adapter),
    };
  }
  return {
    ...state,
    models: [...new Set([...state.models, model ?? ''])],
    adapters: adapter === undefined ? state.adapters : [...new Set([...state.adapters, adapter])],
    versions:
      version === undefined ? state.versions : { ...state.versions, [model ?? '']: version },
  };
};

test('orders applied one by one never remove the last copy of a needed model, and they converge', () => {
  const states = fc.array(STATE, { minLength: 1, maxLength: 5 });
  const property = fc.property(states, POOL, (engines, { wanted, copies }) => {
    const lines = wanted.map((model) => `models[] = ${model}\n`).join('');
    const text = createText(engines.length, `${lines}copies = ${copies}`);
    const actual = new Map(createInput(text, engines).actual);
    const countCopies = (model: string): number =>
      [...actual.values()].filter((state) => state.models.includes(model)).length;
    for (let round = 0; round < 100; round += 1) {
      const orders = deriveOrders({ ...createInput(text, []), actual });
      if (orders.length === 0) return;
      for (const order of orders) {
        const state = actual.get(order.upstream.id);
        assert.ok(state !== undefined, 'an unreachable engine received an order');
        const before = countCopies(order.model ?? '');
        actual.set(order.upstream.id, applyOrder(state, order));
        const isNeeded = ['drill-7b', 'report-70b'].includes(order.model ?? '');
        if (before > 0 && isNeeded) assert.ok(countCopies(order.model ?? '') > 0);
      }
    }
    assert.fail('the orders did not converge');
  });
  fc.assert(property, { seed: SEED, numRuns: 500 });
});

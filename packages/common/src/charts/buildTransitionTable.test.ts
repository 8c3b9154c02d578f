import assert from 'node:assert/strict';
import { test } from 'node:test';

import { buildTransitionTable } from './buildTransitionTable.js';

import type { StateChart } from './buildTransitionTable.js';

enum DoorState {
  Open = 'open',
  Closed = 'closed',
}

enum DoorEvent {
  Open = 'open',
  Close = 'close',
}

const CHART: StateChart = {
  id: 'door',
  initial: 'closed',
  states: { open: { on: { close: 'closed' } }, closed: { on: { open: 'open' } } },
};

test('a transition table contains exactly the transitions of its chart', () => {
  const findNext = buildTransitionTable(CHART, DoorState, DoorEvent);
  assert.equal(findNext(DoorState.Closed, DoorEvent.Open), DoorState.Open);
  assert.equal(findNext(DoorState.Open, DoorEvent.Close), DoorState.Closed);
  assert.equal(findNext(DoorState.Open, DoorEvent.Open), undefined);
});

test('a chart whose states differ from the enum is rejected', () => {
  const chart = { ...CHART, states: { ...CHART.states, ajar: { on: { close: 'closed' } } } };
  assert.throws(() => buildTransitionTable(chart, DoorState, DoorEvent), /ajar/);
});

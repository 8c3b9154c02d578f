import { createRequire } from 'node:module';

import { createMachine, transition } from 'xstate';
import { z } from 'zod';

import { OrderEvent, OrderState } from './enums.js';

import type { AnyMachineSnapshot, MachineConfig } from 'xstate';

type Chart = MachineConfig<Record<string, never>, { type: OrderEvent }>;

const chart = createRequire(import.meta.url)('./orderStates.json') as Chart;

const STATES = z.enum(OrderState);

const buildTable = (): ReadonlyMap<OrderState, ReadonlyMap<OrderEvent, OrderState>> => {
  const machine = createMachine(chart);
  const table = new Map<OrderState, ReadonlyMap<OrderEvent, OrderState>>();
  for (const state of Object.values(OrderState)) {
    const snapshot: AnyMachineSnapshot = machine.resolveState({ value: state, context: {} });
    const row = new Map<OrderEvent, OrderState>();
    for (const event of Object.values(OrderEvent)) {
      if (!snapshot.can({ type: event })) continue;
      const [next] = transition(machine, snapshot as never, { type: event });
      row.set(event, STATES.parse(next.value));
    }
    table.set(state, row);
  }
  return table;
};

/** The state chart, interpreted once at start so that a transition is a look-up. */
const TABLE = buildTable();

/**
 * Finds where an event leads.
 *
 * @param state - the record's present state
 * @param event - what happened
 * @returns the next state, or undefined where the chart does not allow the event
 */
export const findNextState = (state: OrderState, event: OrderEvent): OrderState | undefined =>
  TABLE.get(state)?.get(event);

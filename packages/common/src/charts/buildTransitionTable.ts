import { createMachine, transition } from 'xstate';

import type { AnyMachineSnapshot } from 'xstate';

type AnyChartConfig = Parameters<typeof createMachine>[0];

/** A state chart without nested states, as stored in its JSON file. */
export interface StateChart {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/** One state of a state chart. */
export interface ChartState {
  readonly type?: 'final';
  /** Target state of each event that this state accepts. */
  readonly on?: Readonly<Record<string, string>>;
}

/** Returns the target state of an event in a state, or undefined if the state does not accept the event. */
export type TransitionTable<State extends string, Event extends string> = (
  state: State,
  event: Event,
) => State | undefined;

/**
 * Evaluates a state chart once into a lookup table, so that transitions on a hot path do not run XState.
 *
 * @param chart - the parsed JSON file
 * @param states - enum with the names of the states
 * @param events - enum with the names of the events
 * @returns a lookup from state and event to the target state
 * @throws Error if the state or event names of chart and enums differ
 */
export const buildTransitionTable = <State extends string, Event extends string>(
  chart: StateChart,
  states: Readonly<Record<string, State>>,
  events: Readonly<Record<string, Event>>,
): TransitionTable<State, Event> => {
  const machine = createMachine(chart as AnyChartConfig);
  verifyNames('states', Object.keys(machine.states), Object.values(states));
  verifyNames('events', machine.events, Object.values(events));
  const table = new Map<State, ReadonlyMap<Event, State>>();
  for (const state of Object.values(states)) {
    const snapshot: AnyMachineSnapshot = machine.resolveState({ value: state, context: {} });
    const row = new Map<Event, State>();
    for (const event of Object.values(events)) {
      if (!snapshot.can({ type: event })) continue;
      row.set(event, transition(machine, snapshot as never, { type: event })[0].value as State);
    }
    table.set(state, row);
  }
  return (state, event) => table.get(state)?.get(event);
};

const verifyNames = (what: string, inChart: readonly string[], inEnum: readonly string[]): void => {
  const chartNames = [...inChart].sort().join(', ');
  const enumNames = [...inEnum].sort().join(', ');
  if (chartNames !== enumNames)
    throw new Error(
      `The state chart has the ${what} ${chartNames}, but the enum has ${enumNames}.`,
    );
};

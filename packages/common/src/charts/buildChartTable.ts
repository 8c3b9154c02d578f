import { createMachine, transition } from 'xstate';

import type { AnyMachineSnapshot } from 'xstate';

type AnyChartConfig = Parameters<typeof createMachine>[0];

/** A flat state chart, as its JSON file holds it. */
export interface Chart {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/** One state of a chart. */
export interface ChartState {
  readonly type?: 'final';
  /** The state that each event leads to. */
  readonly on?: Readonly<Record<string, string>>;
}

/** Finds where an event leads from a state; undefined where the chart does not allow the event. */
export type ChartTable<State extends string, Event extends string> = (
  state: State,
  event: Event,
) => State | undefined;

/**
 * Interprets a state chart once, so that a transition on a hot path is a look-up.
 *
 * @param chart - the parsed JSON file
 * @param states - the enum of its states
 * @param events - the enum of its events
 * @returns the table of its transitions
 * @throws Error where the chart and the enums do not name the same states and events
 */
export const buildChartTable = <State extends string, Event extends string>(
  chart: Chart,
  states: Readonly<Record<string, State>>,
  events: Readonly<Record<string, Event>>,
): ChartTable<State, Event> => {
  const machine = createMachine(chart as AnyChartConfig);
  checkNames('states', Object.keys(machine.states), Object.values(states));
  checkNames('events', machine.events, Object.values(events));
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

const checkNames = (what: string, inChart: readonly string[], inEnum: readonly string[]): void => {
  const left = [...inChart].sort().join(', ');
  const right = [...inEnum].sort().join(', ');
  if (left !== right) throw new Error(`The chart's ${what} are ${left}; the enum's are ${right}.`);
};

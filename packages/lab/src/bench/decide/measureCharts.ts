import {
  findNextRequestState,
  REQUEST_CHART,
  RequestEvent,
  RequestState,
} from '@sardinegrade/dispatch/testing';
import { createMachine, transition } from 'xstate';

const TRANSITIONS = 20_000;

/** The cost of a state chart transition, in microseconds. */
export interface ChartCost {
  /** When the state chart library interprets the chart at each transition. */
  readonly interpretedUs: number;
  /** With a lookup in the table that is built from the chart at startup. */
  readonly tableUs: number;
}

const measureRepeated = (step: () => unknown): number => {
  for (let count = 0; count < TRANSITIONS / 4; count += 1) step();
  const startedAt = performance.now();
  for (let count = 0; count < TRANSITIONS; count += 1) step();
  return ((performance.now() - startedAt) * 1_000) / TRANSITIONS;
};

/**
 * Measures a transition of the request chart, interpreted by the library and looked up in the table.
 *
 * @returns the mean cost of each variant
 */
export const measureCharts = (): ChartCost => {
  const machine = createMachine(REQUEST_CHART as Parameters<typeof createMachine>[0]);
  const waiting = machine.resolveState({ value: RequestState.Waiting, context: {} });
  const event = { type: RequestEvent.Grant };
  return {
    interpretedUs: measureRepeated(() => transition(machine, waiting as never, event)),
    tableUs: measureRepeated(() => findNextRequestState(RequestState.Waiting, RequestEvent.Grant)),
  };
};

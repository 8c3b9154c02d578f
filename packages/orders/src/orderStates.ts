import { createRequire } from 'node:module';

import { buildTransitionTable } from '@sardinegrade/common';

import { OrderEvent, OrderState } from './enums.js';

import type { StateChart } from '@sardinegrade/common';

const chart = createRequire(import.meta.url)('./orderStates.json') as StateChart;

/** Finds the state of an order record after an event; undefined if the chart does not allow the event. */
export const findNextState = buildTransitionTable(chart, OrderState, OrderEvent);

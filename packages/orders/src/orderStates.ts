import { createRequire } from 'node:module';

import { buildChartTable } from '@sardinegrade/common';

import { OrderEvent, OrderState } from './enums.js';

import type { Chart } from '@sardinegrade/common';

const chart = createRequire(import.meta.url)('./orderStates.json') as Chart;

/** Finds the state of an order record after an event; undefined if the chart does not allow the event. */
export const findNextState = buildChartTable(chart, OrderState, OrderEvent);

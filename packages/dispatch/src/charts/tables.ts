import { createRequire } from 'node:module';

import { buildChartTable } from '@sardinegrade/common';

import {
  EngineHealth,
  EngineHealthEvent,
  RequestEvent,
  RequestState,
  SuspicionEvent,
  SuspicionState,
} from './enums.js';

import type { Chart } from '@sardinegrade/common';

const loadChart = (file: string): Chart => createRequire(import.meta.url)(file) as Chart;

/** The chart of an ask at its dispatcher. */
export const REQUEST_CHART = loadChart('./request.json');

/** Transitions of an ask at its dispatcher. */
export const findNextRequestState = buildChartTable(REQUEST_CHART, RequestState, RequestEvent);

/** Transitions of an engine's health. */
export const findNextEngineHealth = buildChartTable(
  loadChart('./engineConnection.json'),
  EngineHealth,
  EngineHealthEvent,
);

/** Transitions of the suspicion against a fingerprint. */
export const findNextSuspicion = buildChartTable(
  loadChart('./quarantine.json'),
  SuspicionState,
  SuspicionEvent,
);

import { createRequire } from 'node:module';

import { buildTransitionTable } from '@sardinegrade/common';

import {
  EngineHealth,
  EngineHealthEvent,
  RequestEvent,
  RequestState,
  SuspicionEvent,
  SuspicionState,
} from './enums.js';

import type { StateChart } from '@sardinegrade/common';

const loadChart = (file: string): StateChart => createRequire(import.meta.url)(file) as StateChart;

/** State chart of a request at its dispatcher. */
export const REQUEST_CHART = loadChart('./request.json');

/** Finds the next state of a request; undefined if the chart does not allow the event. */
export const findNextRequestState = buildTransitionTable(REQUEST_CHART, RequestState, RequestEvent);

/**
 * Finds the next health of an engine; undefined if the chart does not allow the event. Its chart has the values of
 * EngineHealth and EngineHealthEvent.
 */
export const findNextEngineHealth = buildTransitionTable(
  loadChart('./engineConnection.json'),
  EngineHealth,
  EngineHealthEvent,
);

/**
 * Finds the next suspicion state of a fingerprint; undefined if the chart does not allow the event. Its chart has the
 * values of SuspicionState and SuspicionEvent.
 */
export const findNextSuspicion = buildTransitionTable(
  loadChart('./quarantine.json'),
  SuspicionState,
  SuspicionEvent,
);

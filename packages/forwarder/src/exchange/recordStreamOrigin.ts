import { DEFAULT_TIMEOUT_MS } from '../constants.js';

import type { BuildName } from '@sardinegrade/common';
import type { ForwarderState } from '../ForwarderState.js';
import type { WorkerRecord } from '../workers/index.js';
import type { AdmittedRequest } from './types.js';

/**
 * Records at which build a stream began, for callers that resume it.
 *
 * @param state - state of the forwarder
 * @param admitted - the request that received the first event
 * @param record - the worker that sent it
 * @returns the build
 */
export const recordStreamOrigin = (
  state: ForwarderState,
  { caller, route, arrivedAtMs }: AdmittedRequest,
  { worker: { service, build } }: WorkerRecord,
): BuildName => {
  if (!route.isResumable || caller.requestId === undefined) return build;
  const expiresAtMs = arrivedAtMs + (caller.deadlineMs ?? DEFAULT_TIMEOUT_MS);
  state.streamOrigins.record(caller.requestId, { service, build }, expiresAtMs);
  return build;
};

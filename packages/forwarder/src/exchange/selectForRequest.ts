import { findService } from './findService.js';
import { selectWorker } from './selectWorker.js';

import type { BuildName, ServiceName } from '@sardinegrade/common';
import type { RoutedService } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { Attempts } from './Attempts.js';
import type { SelectionContext } from './filterCandidates.js';
import type { WorkerSelection } from './selectWorker.js';
import type { AdmittedRequest } from './types.js';

/** The service of a request, and the worker selected for its next send. */
export interface RequestSelection {
  readonly service: RoutedService;
  readonly selection: WorkerSelection;
}

/** Progress of a request that decides which workers may serve it. */
export interface RequestProgress {
  /** Undefined if the route has no service. */
  readonly service: ServiceName | undefined;
  readonly attempts: Attempts;
  /** Build that began the stream; undefined if any may serve the request. */
  readonly build: BuildName | undefined;
}

/**
 * Builds the inputs of the selection of a worker for a request.
 *
 * @param state - state of the forwarder
 * @param admitted - the request
 * @param progress - what has become of it so far
 * @returns the inputs, or undefined if the request has no service
 */
export const buildSelectionContext = (
  state: ForwarderState,
  { caller, route }: AdmittedRequest,
  { service: name, attempts, build }: RequestProgress,
): SelectionContext | undefined => {
  const service = findService(state.configuration, name);
  if (service === undefined) return undefined;
  return {
    state,
    service,
    prompt: caller.prompt,
    targetMs: route.targetMs,
    eventGapMs: route.eventGapMs,
    trialDraw: attempts.trialDraw,
    tried: attempts.tried,
    build,
    beginsStream: route.isResumable && build === undefined,
    requestId: caller.requestId,
    isRepeatable: attempts.isRepeatable,
    nowMs: state.options.getNowMs(),
  };
};

/**
 * Selects the worker for the next send of a request.
 *
 * @param state - state of the forwarder
 * @param admitted - the request
 * @param progress - what has become of it so far
 * @returns the selection, or undefined if the request has no service
 */
export const selectForRequest = (
  state: ForwarderState,
  admitted: AdmittedRequest,
  progress: RequestProgress,
): RequestSelection | undefined => {
  const context = buildSelectionContext(state, admitted, progress);
  if (context === undefined) return undefined;
  return { service: context.service, selection: selectWorker(context) };
};

/**
 * Whether a selection lets another worker serve a request at once, in place of the one that it was sent to.
 *
 * @param state - state of the forwarder
 * @param attempts - the sends so far
 * @param selection - the selection for the next send; undefined if the request has no service
 * @returns whether the selected worker is another one, and neither ejected nor unreachable
 */
export const isServedElsewhere = (
  { dataCentres, options }: ForwarderState,
  { tried }: Attempts,
  selection: WorkerSelection | undefined,
): boolean => {
  if (selection?.record === undefined || selection.shouldWait) return false;
  const { worker, health } = selection.record;
  const nowMs = options.getNowMs();
  const isUnreachable = dataCentres.isUnreachable(worker.dataCentre, nowMs);
  return !tried.has(worker.id) && !health.isEjected(nowMs) && !isUnreachable;
};

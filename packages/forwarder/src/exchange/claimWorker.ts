import { RouteKind } from '@sardinegrade/routing';

import { SendPace } from './SendPace.js';
import { SilenceTimer } from './SilenceTimer.js';
import { addUnansweredSend } from './unansweredSends.js';

import type { EngineLoad, RoutedService } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { WorkerRecord } from '../workers/index.js';
import type { ActiveSend, AdmittedRequest } from './types.js';

/** The worker that was chosen for a request. */
export interface ChosenWorker {
  readonly record: WorkerRecord;
  readonly service: RoutedService;
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Prompt tokens that it has yet to prefill, and requests that it runs, of all VMs; 0 for plain services. */
  readonly load: EngineLoad;
}

/**
 * Claims what a send uses at its worker: a connection, a place in its load, and its limit.
 *
 * @param state - state of the forwarder
 * @param admitted - the request
 * @param chosen - the worker
 * @returns the send, which has not begun
 */
export const claimWorker = (
  state: ForwarderState,
  { caller, route }: AdmittedRequest,
  { record, service, isRepeatable, load }: ChosenWorker,
): ActiveSend => {
  const nowMs = state.options.getNowMs();
  const claimed = record.pool.claim(nowMs, isRepeatable);
  const prompt = service.engine === undefined ? undefined : caller.prompt;
  const run = prompt === undefined ? undefined : record.tracker.start(prompt, nowMs);
  state.workerLimits.recordSend(record);
  if (prompt !== undefined && run?.hasUncachedSharedParts === true) {
    state.onPlacement(record.worker.id, prompt.parts);
  }
  const { partQuarantine } = state;
  const active: ActiveSend = {
    record,
    claimed,
    run,
    pace:
      run &&
      new SendPace(state.paces, record, { ...load, uncachedTokens: run.uncachedTokens }, nowMs),
    isStream: route.kind === RouteKind.Streaming,
    unanswered: addUnansweredSend(partQuarantine, record.worker, prompt, () => active.send),
    silenceTimer: new SilenceTimer(),
    startedAtMs: nowMs,
    hasFirstEvent: false,
  };
  return active;
};

import { buildSelectionContext, isServedElsewhere, selectForRequest } from './selectForRequest.js';
import { listEligible } from './filterCandidates.js';

import type { ForwarderState } from '../ForwarderState.js';
import type { RequestProgress } from './selectForRequest.js';
import type { ActiveSend, AdmittedRequest } from './types.js';

/**
 * Finds why a worker is to get no request any more that was placed there, when its connection opens. Until then nothing
 * has been sent, and the worker may have become excluded.
 *
 * @param state - state of the forwarder
 * @param admitted - the request
 * @param progress - what has become of it so far
 * @param send - the placed send
 * @returns the reason, or undefined if the request is to be sent
 */
export const findExclusion = (
  state: ForwarderState,
  admitted: AdmittedRequest,
  progress: RequestProgress,
  { record, startedAtMs }: Pick<ActiveSend, 'record' | 'startedAtMs'>,
): string | undefined => {
  const context = buildSelectionContext(state, admitted, progress);
  if (context === undefined) return undefined;
  const { attempts } = progress;
  // This send does not count as an earlier one at the worker.
  const tried = new Set([...attempts.tried].filter((id) => id !== record.worker.id));
  if (!listEligible({ ...context, tried }).records.includes(record)) {
    return 'the worker leaves or is gone, or may not serve the request any more';
  }
  if (state.workerNotices.getPauseMs(record) > 0) return 'the worker wants no requests for a time';
  if (record.health.isFailing(context.nowMs)) {
    const other = selectForRequest(state, admitted, progress)?.selection;
    if (isServedElsewhere(state, attempts, other)) return 'the worker fails requests';
  }
  if (state.workerLimits.claimLate(record, startedAtMs)) return undefined;
  return 'the worker has named a limit';
};

import { ResultCode, RunState, SardinegradeError, toBranded } from '@sardinegrade/common';
import { CallOutcome } from '@sardinegrade/orders';

import type { OrderSubmission, ServiceCaller } from '@sardinegrade/orders';
import type { ModelOrders } from './types.js';

const ATTEMPTS = 3;
const TIMEOUT_MS = 5_000;

/**
 * Creates the naive version: forward, and retry on any error.
 *
 * @param caller - the way to the service
 * @param newId - source of attempt ids
 * @returns a version without records, which tells callers that what gave no answer was not run
 */
export const createNaiveOrders = (caller: ServiceCaller, newId: () => string): ModelOrders => ({
  submitOrder: async (submission: OrderSubmission) => {
    const { service, request, requestId, traceparent, workspace, key } = submission;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const result = await caller.callService({
        service,
        request,
        scopedKey: `${workspace}/${key}`,
        attemptId: toBranded(newId()),
        requestId,
        traceparent,
        timeoutMs: TIMEOUT_MS,
        canStart: () => true,
      });
      if (result.outcome === CallOutcome.Answered) {
        return { answer: result.answer, isReplay: false };
      }
    }
    const options = { run: RunState.NotRun };
    return { error: new SardinegradeError(ResultCode.UpstreamFailed, 'No answer.', options) };
  },
});

import { ResultCode, RunState, SardinegradeError, toBranded } from '@sardinegrade/common';
import { CallOutcome } from '@sardinegrade/orders';

import type { OrderSubmission, ServiceClient } from '@sardinegrade/orders';
import type { ModelOrders } from './types.js';

const MAX_ATTEMPTS = 3;
const CALL_TIMEOUT_MS = 5_000;

/**
 * Creates a naive implementation without order records: it forwards a request and retries on any error.
 *
 * @param serviceClient - client of the service
 * @param createAttemptId - returns a new id for each attempt
 * @returns an implementation that reports an order without an answer as not run, although it may have been run
 */
export const createNaiveOrders = (
  serviceClient: ServiceClient,
  createAttemptId: () => string,
): ModelOrders => ({
  submitOrder: async (submission: OrderSubmission) => {
    const { service, request, requestId, traceparent, workspace, key } = submission;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const result = await serviceClient.callService({
        service,
        request,
        scopedKey: `${workspace}/${key}`,
        attemptId: toBranded(createAttemptId()),
        requestId,
        traceparent,
        timeoutMs: CALL_TIMEOUT_MS,
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

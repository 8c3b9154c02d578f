import { Hop, MetricName, parseTraceparent, ResultCode } from '@sardinegrade/common';
import { CallOutcome } from '@sardinegrade/orders';

import type { Metrics, Tracing } from '@sardinegrade/common';
import type { CallResult, ServiceCaller } from '@sardinegrade/orders';

const FAILURE_CODES: Readonly<Record<CallOutcome, ResultCode | undefined>> = {
  [CallOutcome.Answered]: undefined,
  [CallOutcome.NotStarted]: ResultCode.NoUpstream,
  [CallOutcome.TooLarge]: ResultCode.AnswerNotKept,
  [CallOutcome.Unknown]: ResultCode.UpstreamFailed,
};

/** Where observations of attempts at plain services go. */
export interface AttemptObservation {
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

/**
 * Wraps the way to the plain services so that each attempt has a span and is counted.
 *
 * @param caller - the way to the services
 * @param observation - metrics and tracing
 * @returns the same way, observed
 */
export const observeServiceCaller = (
  caller: ServiceCaller,
  { metrics, tracing }: AttemptObservation,
): ServiceCaller => ({
  callService: async (call): Promise<CallResult> => {
    const span = tracing.startSpan(Hop.UpstreamAttempt, {
      parent: parseTraceparent(call.traceparent),
      requestId: call.requestId,
      attributes: { service: call.service.name, 'attempt.id': call.attemptId },
    });
    const result = await caller.callService({ ...call, traceparent: span.traceparent });
    const { outcome } = result;
    metrics.addCount(MetricName.UpstreamAttempts, { upstream: call.service.pool, outcome });
    span.finish({ code: FAILURE_CODES[outcome], attributes: { outcome } });
    return result;
  },
  lookupStatus: async (service, scopedKey) => {
    const span = tracing.startSpan(Hop.OrderLookup, { attributes: { service: service.name } });
    const result = await caller.lookupStatus(service, scopedKey);
    span.finish({ attributes: { outcome: result.outcome } });
    return result;
  },
});

import { Hop, MetricName, parseTraceparent, ResultCode } from '@sardinegrade/common';
import { CallOutcome } from '@sardinegrade/orders';

import type { Metrics, Tracing } from '@sardinegrade/common';
import type { CallResult, ServiceClient } from '@sardinegrade/orders';

/** Result code of the span for each outcome; undefined for a success. */
const FAILURE_CODES: Readonly<Record<CallOutcome, ResultCode | undefined>> = {
  [CallOutcome.Answered]: undefined,
  [CallOutcome.NotStarted]: ResultCode.NoUpstream,
  [CallOutcome.TooLarge]: ResultCode.AnswerNotKept,
  [CallOutcome.Unknown]: ResultCode.UpstreamFailed,
};

/** Receives metrics and spans of attempts to call plain services. */
export interface AttemptObservation {
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

/**
 * Wraps a service client so that every attempt has a span and is counted, and every status lookup has a span.
 *
 * @param serviceClient - the service client to wrap
 * @param observation - receives the counts and spans
 * @returns a service client with the same behaviour
 */
export const observeServiceClient = (
  serviceClient: ServiceClient,
  { metrics, tracing }: AttemptObservation,
): ServiceClient => ({
  callService: async (call): Promise<CallResult> => {
    const span = tracing.startSpan(Hop.UpstreamAttempt, {
      parent: parseTraceparent(call.traceparent),
      requestId: call.requestId,
      attributes: { service: call.service.name, 'attempt.id': call.attemptId },
    });
    const result = await serviceClient.callService({ ...call, traceparent: span.traceparent });
    const { outcome } = result;
    metrics.addCount(MetricName.UpstreamAttempts, { upstream: call.service.pool, outcome });
    span.finish({ code: FAILURE_CODES[outcome], attributes: { outcome } });
    return result;
  },
  lookupStatus: async (service, scopedKey) => {
    const span = tracing.startSpan(Hop.OrderLookup, { attributes: { service: service.name } });
    const result = await serviceClient.lookupStatus(service, scopedKey);
    span.finish({ attributes: { outcome: result.outcome } });
    return result;
  },
});

import { Hop, MetricName, parseTraceparent, toSardinegradeError } from '@sardinegrade/common';
import { PlatformError } from '@sardinegrade/platform';

import type { HopSpan, Metrics, TraceContext, Tracing } from '@sardinegrade/common';
import type { ObjectWrite, PlatformClient } from '@sardinegrade/platform';

/** Receives metrics and spans of calls to the platform. */
export interface PlatformObservation {
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

const SUCCESS = 'ok';

/** Finds the trace context that an order record stores from the request that created it. */
const findTrace = ({ value }: ObjectWrite): TraceContext | undefined => {
  if (typeof value !== 'object' || value === null || !('traceparent' in value)) return undefined;
  return typeof value.traceparent === 'string' ? parseTraceparent(value.traceparent) : undefined;
};

const toOutcome = (error: unknown): string =>
  error instanceof PlatformError ? error.failure : 'error';

/**
 * Wraps the platform client so that every call is counted and every order write has a span.
 *
 * @param platform - the client to wrap
 * @param observation - receives the counts and spans
 * @returns a client with the same behaviour
 */
export const observePlatform = (
  platform: PlatformClient,
  { metrics, tracing }: PlatformObservation,
): PlatformClient => {
  const observe = async <Value>(method: string, call: () => Promise<Value>): Promise<Value> => {
    const countOutcome = (outcome: string): void =>
      metrics.addCount(MetricName.PlatformCalls, { method, outcome });
    try {
      const value = await call();
      countOutcome(SUCCESS);
      return value;
    } catch (error) {
      countOutcome(toOutcome(error));
      throw error;
    }
  };
  const runWithSpan = async <Value>(span: HopSpan, call: () => Promise<Value>): Promise<Value> => {
    try {
      const value = await call();
      span.finish();
      return value;
    } catch (error) {
      span.finish({ code: toSardinegradeError(error).code });
      throw error;
    }
  };
  const write: PlatformClient['write'] = async (change) => {
    const parent = findTrace(change);
    const send = () => observe('write', () => platform.write(change));
    if (parent === undefined) return send();
    const span = tracing.startSpan(Hop.OrderWrite, { parent });
    const result = await runWithSpan(span, send);
    metrics.addCount(MetricName.OrderWrites, { outcome: result.outcome });
    return result;
  };
  return {
    write,
    read: (kind, name) => observe('read', () => platform.read(kind, name)),
    list: (kind, prefix, after) => observe('list', () => platform.list(kind, prefix, after)),
    remove: (kind, name, ifVersion) =>
      observe('remove', () => platform.remove(kind, name, ifVersion)),
    watch: (kind, afterVersion, timeoutMs, signal) =>
      observe('watch', () => platform.watch(kind, afterVersion, timeoutMs, signal)),
    listVms: () => observe('list_vms', () => platform.listVms()),
  };
};

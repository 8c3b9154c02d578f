import { ResultCode, RESULT_ADVICE } from '@sardinegrade/common';

import type { ExplanationView, RecentTrace, SpanView, TraceView } from '@sardinegrade/common';
import type { RequestAccount } from '../journal/index.js';

const describeEnd = ({ endedAtMs, arrivedAtMs, code }: RequestAccount): string => {
  if (endedAtMs === undefined) return 'In progress.';
  const durationMs = endedAtMs - arrivedAtMs;
  if (code === undefined) return `Answered whole after ${durationMs} ms.`;
  const { meaning } = RESULT_ADVICE[code];
  return `Ended after ${durationMs} ms with ${ResultCode[code]} (${code}): ${meaning}`;
};

/**
 * Explains one request.
 *
 * @param account - the journal's account
 * @param vm - the daemon that keeps it
 * @returns the decisions in order and one sentence on how the request ended
 */
export const describeRequest = (account: RequestAccount, vm: string): ExplanationView => ({
  request_id: account.requestId,
  vm,
  trace_id: account.traceId,
  service: account.target?.service,
  class: account.target?.className,
  tier: account.target?.tier,
  workspace: account.workspace,
  arrived_at_ms: account.arrivedAtMs,
  ended_at_ms: account.endedAtMs,
  code: account.code,
  summary: describeEnd(account),
  decisions: account.decisions.map(({ atMs, kind, detail, upstream, code }) => ({
    at_ms: atMs,
    after_ms: atMs - account.arrivedAtMs,
    kind,
    detail,
    upstream,
    code,
  })),
  omitted: account.omitted,
});

const describeSpan = (span: RecentTrace['spans'][number]): SpanView => {
  const attributes: SpanView['attributes'] = {};
  for (const [name, value] of Object.entries(span.attributes)) {
    if (value !== undefined) attributes[name] = value;
  }
  return {
    span_id: span.spanId,
    parent_span_id: span.parentSpanId,
    name: span.name,
    vm: span.vm,
    request_id: span.requestId,
    started_at_ms: span.startedAtMs,
    duration_ms: span.durationMs,
    code: span.code,
    attributes,
    events: span.events.map(({ name, atMs }) => ({ name, at_ms: atMs })),
  };
};

/**
 * Describes the spans of one trace on this daemon.
 *
 * @param trace - the trace
 * @returns its spans in the order of their starts
 */
export const describeTrace = (trace: RecentTrace): TraceView => ({
  trace_id: trace.traceId,
  spans: trace.spans.map(describeSpan),
});

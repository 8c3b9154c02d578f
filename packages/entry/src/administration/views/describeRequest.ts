import { ResultCode, RESULT_ADVICE } from '@sardinegrade/common';

import type { ExplanationView, RecentTrace, SpanView, TraceView } from '@sardinegrade/common';
import type { JournalEntry } from '../journal/index.js';

const describeEnd = ({ endedAtMs, arrivedAtMs, code }: JournalEntry): string => {
  if (endedAtMs === undefined) return 'In progress.';
  const durationMs = endedAtMs - arrivedAtMs;
  if (code === undefined) return `Answered whole after ${durationMs} ms.`;
  const { meaning } = RESULT_ADVICE[code];
  return `Ended after ${durationMs} ms with ${ResultCode[code]} (${code}): ${meaning}`;
};

/**
 * Describes one request of the journal.
 *
 * @param entry - journal entry of the request
 * @param vm - VM whose journal has the entry
 * @returns the decisions in order and a summary of the result
 */
export const describeRequest = (entry: JournalEntry, vm: string): ExplanationView => ({
  request_id: entry.requestId,
  vm,
  trace_id: entry.traceId,
  service: entry.target?.service,
  class: entry.target?.className,
  tier: entry.target?.tier,
  workspace: entry.workspace,
  arrived_at_ms: entry.arrivedAtMs,
  ended_at_ms: entry.endedAtMs,
  code: entry.code,
  summary: describeEnd(entry),
  decisions: entry.decisions.map(({ atMs, kind, detail, upstream, code }) => ({
    at_ms: atMs,
    after_ms: atMs - entry.arrivedAtMs,
    kind,
    detail,
    upstream,
    code,
  })),
  omitted: entry.omitted,
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
 * Describes one trace.
 *
 * @param trace - the spans that this daemon recorded for the trace
 * @returns the spans in the order of their start times
 */
export const describeTrace = (trace: RecentTrace): TraceView => ({
  trace_id: trace.traceId,
  spans: trace.spans.map(describeSpan),
});

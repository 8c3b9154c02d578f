import { hrTimeToMilliseconds } from '@opentelemetry/core';

import { RECENT_SPAN_LIMIT } from './constants.js';

import type { ReadableSpan } from '@opentelemetry/sdk-trace-base';
import type { RecentSpan, RecentTrace, RecentTraces, SpanAttributes } from './types.js';

const REQUEST_ID_ATTRIBUTE = 'request.id';
const CODE_ATTRIBUTE = 'result.code';

const toRecentSpan = (span: ReadableSpan, vm: string): RecentSpan => {
  const { traceId, spanId } = span.spanContext();
  const attributes = { ...span.attributes } as SpanAttributes;
  const requestId = attributes[REQUEST_ID_ATTRIBUTE];
  const code = attributes[CODE_ATTRIBUTE];
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    requestId: typeof requestId === 'string' ? requestId : undefined,
    vm,
    startedAtMs: hrTimeToMilliseconds(span.startTime),
    durationMs: hrTimeToMilliseconds(span.duration),
    code: typeof code === 'number' ? code : undefined,
    attributes,
    events: span.events.map(({ name, time }) => ({ name, atMs: hrTimeToMilliseconds(time) })),
  };
};

interface BufferedTrace {
  readonly spans: ReadableSpan[];
  readonly requestIds: Set<string>;
}

/**
 * Buffers the finished spans of the latest traces. When the buffer is full, a new trace evicts the
 * oldest one.
 */
export class RecentTraceBuffer implements RecentTraces {
  readonly #vm: string;
  readonly #limit: number;
  readonly #traces = new Map<string, BufferedTrace>();
  readonly #traceIdByRequest = new Map<string, string>();

  constructor(vm: string, limit: number) {
    this.#vm = vm;
    this.#limit = limit;
  }

  /**
   * Adds a finished span. If its trace already has RECENT_SPAN_LIMIT spans, only its request id is
   * indexed. Does nothing if the limit of the buffer is 0.
   *
   * @param span - the finished span
   */
  add(span: ReadableSpan): void {
    if (this.#limit === 0) return;
    const { traceId } = span.spanContext();
    const trace = this.#traces.get(traceId) ?? this.#addTrace(traceId);
    if (trace.spans.length < RECENT_SPAN_LIMIT) trace.spans.push(span);
    const requestId = span.attributes[REQUEST_ID_ATTRIBUTE];
    if (typeof requestId !== 'string' || trace.requestIds.size >= RECENT_SPAN_LIMIT) return;
    trace.requestIds.add(requestId);
    this.#traceIdByRequest.set(requestId, traceId);
  }

  /**
   * Lists traces, latest first.
   *
   * @param limit - maximum number of traces
   * @returns the traces with their finished spans
   */
  list(limit: number): readonly RecentTrace[] {
    const traceIds = [...this.#traces.keys()].reverse().slice(0, Math.max(0, limit));
    return traceIds.flatMap((traceId) => this.find(traceId) ?? []);
  }

  /**
   * Finds a trace.
   *
   * @param traceId - 32 hex digits
   * @returns the trace, or undefined if it is not in the buffer
   */
  find(traceId: string): RecentTrace | undefined {
    const trace = this.#traces.get(traceId);
    if (trace === undefined) return undefined;
    const spans = trace.spans.map((span) => toRecentSpan(span, this.#vm));
    return { traceId, spans: spans.sort((a, b) => a.startedAtMs - b.startedAtMs) };
  }

  /**
   * Finds the trace of a request.
   *
   * @param requestId - id that a span of the trace carries as `request.id`
   * @returns the trace, or undefined if it is not in the buffer
   */
  findByRequest(requestId: string): RecentTrace | undefined {
    const traceId = this.#traceIdByRequest.get(requestId);
    return traceId === undefined ? undefined : this.find(traceId);
  }

  #addTrace(traceId: string): BufferedTrace {
    if (this.#traces.size >= this.#limit) this.#removeOldest();
    const trace = { spans: [], requestIds: new Set<string>() };
    this.#traces.set(traceId, trace);
    return trace;
  }

  #removeOldest(): void {
    for (const [traceId, trace] of this.#traces) {
      this.#traces.delete(traceId);
      for (const requestId of trace.requestIds) {
        if (this.#traceIdByRequest.get(requestId) === traceId) {
          this.#traceIdByRequest.delete(requestId);
        }
      }
      return;
    }
  }
}

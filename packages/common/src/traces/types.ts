import type { ResultCode } from '../errors/index.js';
import type { Hop } from './enums.js';

/** Identity of a span, passed to its children on this or another daemon. */
export interface TraceContext {
  /** 32 hex digits. */
  readonly traceId: string;
  /** 16 hex digits. */
  readonly spanId: string;
  readonly isSampled: boolean;
}

/** Attributes of a span. Must not contain API keys or request bodies. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean | undefined>>;

/** Options for starting a span. */
export interface SpanOptions {
  /** Parent span; undefined starts a new trace. */
  readonly parent?: TraceContext | undefined;
  readonly requestId?: string | undefined;
  readonly attributes?: SpanAttributes | undefined;
}

/** Options for finishing a span. */
export interface SpanEnd {
  /** Result code of the failure; undefined if the hop succeeded. */
  readonly code?: ResultCode | undefined;
  readonly attributes?: SpanAttributes | undefined;
}

/** A span that has started and can be finished. */
export interface HopSpan {
  readonly context: TraceContext;
  /** Value of the W3C `traceparent` header that makes this span the parent at the receiver. */
  readonly traceparent: string;
  readonly setAttributes: (attributes: SpanAttributes) => void;
  /** Adds an event at the current time, such as the first token. */
  readonly addEvent: (name: string, attributes?: SpanAttributes) => void;
  readonly finish: (end?: SpanEnd) => void;
}

/** An event within a finished span. */
export interface RecentEvent {
  readonly name: string;
  readonly atMs: number;
}

/** A finished span, as shown by the administration API. */
export interface RecentSpan {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string | undefined;
  readonly name: string;
  readonly requestId: string | undefined;
  readonly vm: string;
  readonly startedAtMs: number;
  readonly durationMs: number;
  readonly code: number | undefined;
  readonly attributes: SpanAttributes;
  readonly events: readonly RecentEvent[];
}

/** The finished spans of one trace on this daemon, sorted by start time. */
export interface RecentTrace {
  readonly traceId: string;
  readonly spans: readonly RecentSpan[];
}

/** Read access to the buffer of the latest traces of this daemon. */
export interface RecentTraces {
  /** Lists traces, latest first. */
  readonly list: (limit: number) => readonly RecentTrace[];
  readonly find: (traceId: string) => RecentTrace | undefined;
  readonly findByRequest: (requestId: string) => RecentTrace | undefined;
}

/** Options for tracing. */
export interface TracingOptions {
  /** Base URL of an OTLP/HTTP collector; if undefined, no spans are exported. */
  readonly otlpAddress?: string | undefined;
  readonly vm: string;
  readonly dataCentre: string;
  /** The daemon's name; `sardinegrade-entry` by default. */
  readonly program?: string | undefined;
  readonly recentTraceLimit?: number | undefined;
  readonly exportIntervalMs?: number | undefined;
  /** Called for each failed export. */
  readonly onExportError?: ((error: unknown) => void) | undefined;
}

/** Creates spans, buffers the latest ones and exports them if a collector is configured. */
export interface Tracing {
  readonly startSpan: (hop: Hop, options?: SpanOptions) => HopSpan;
  readonly recent: RecentTraces;
  /** Exports all queued spans. Resolves even if the collector cannot be reached. */
  readonly flush: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

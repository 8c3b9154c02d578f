import type { ResultCode } from '../errors/index.js';
import type { Hop } from './enums.js';

/** What identifies a span to its children, on this daemon or another. */
export interface TraceContext {
  /** 32 hex digits. */
  readonly traceId: string;
  /** 16 hex digits. */
  readonly spanId: string;
  readonly isSampled: boolean;
}

/** Values that a span may carry. Keys and bodies are never among them. */
export type SpanAttributes = Readonly<Record<string, string | number | boolean | undefined>>;

/** How a span starts. */
export interface SpanOptions {
  /** Undefined begins a new trace. */
  readonly parent?: TraceContext | undefined;
  readonly requestId?: string | undefined;
  readonly attributes?: SpanAttributes | undefined;
}

/** How a span ends. */
export interface SpanEnd {
  /** Undefined where the hop succeeded. */
  readonly code?: ResultCode | undefined;
  readonly attributes?: SpanAttributes | undefined;
}

/** A span under way. */
export interface HopSpan {
  readonly context: TraceContext;
  /** The W3C header value that hands this span on as parent. */
  readonly traceparent: string;
  readonly setAttributes: (attributes: SpanAttributes) => void;
  /** Notes an event at the present time, such as the first token. */
  readonly addEvent: (name: string, attributes?: SpanAttributes) => void;
  readonly finish: (end?: SpanEnd) => void;
}

/** An event within a finished span. */
export interface RecentEvent {
  readonly name: string;
  readonly atMs: number;
}

/** A finished span, as the administration API shows it. */
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

/** The finished spans of one trace on this daemon, in the order of their starts. */
export interface RecentTrace {
  readonly traceId: string;
  readonly spans: readonly RecentSpan[];
}

/** A bounded memory of the latest traces of this daemon. */
export interface RecentTraces {
  /** Lists traces, latest first. */
  readonly list: (limit: number) => readonly RecentTrace[];
  readonly find: (traceId: string) => RecentTrace | undefined;
  readonly findByRequest: (requestId: string) => RecentTrace | undefined;
}

/** How tracing starts. */
export interface TracingOptions {
  /** Base address of an OTLP/HTTP collector; without one nothing is exported. */
  readonly otlpAddress?: string | undefined;
  readonly vm: string;
  readonly dataCentre: string;
  /** The daemon's name; `sardinegrade-entry` by default. */
  readonly program?: string | undefined;
  readonly recentTraceLimit?: number | undefined;
  readonly exportIntervalMs?: number | undefined;
  /** Told of each export that failed. */
  readonly onExportError?: ((error: unknown) => void) | undefined;
}

/** Creates spans and keeps or exports them. */
export interface Tracing {
  readonly startSpan: (hop: Hop, options?: SpanOptions) => HopSpan;
  readonly recent: RecentTraces;
  /** Exports what waits; resolves also where the collector is out of reach. */
  readonly flush: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

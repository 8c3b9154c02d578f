import { ROOT_CONTEXT, SpanKind, SpanStatusCode, trace, TraceFlags } from '@opentelemetry/api';
import { ExportResultCode } from '@opentelemetry/core';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';

import * as limits from './constants.js';
import { Hop } from './enums.js';
import { RecentTraceBuffer } from './RecentTraceBuffer.js';
import { formatTraceparent } from './traceparent.js';

import type { Context, Span, SpanContext } from '@opentelemetry/api';
import type { SpanExporter, SpanProcessor } from '@opentelemetry/sdk-trace-base';
import type {
  HopSpan,
  SpanAttributes,
  SpanEnd,
  SpanOptions,
  TraceContext,
  Tracing,
  TracingOptions,
} from './types.js';

const SPAN_KIND: Readonly<Record<Hop, SpanKind>> = {
  [Hop.Entry]: SpanKind.SERVER,
  [Hop.GrantWait]: SpanKind.CLIENT,
  [Hop.Dispatch]: SpanKind.SERVER,
  [Hop.UpstreamAttempt]: SpanKind.CLIENT,
  [Hop.OrderWrite]: SpanKind.CLIENT,
  [Hop.OrderLookup]: SpanKind.CLIENT,
  [Hop.EngineOrder]: SpanKind.CLIENT,
  [Hop.Administration]: SpanKind.SERVER,
};

const toSpanContext = (context: TraceContext): SpanContext => ({
  traceId: context.traceId,
  spanId: context.spanId,
  traceFlags: context.isSampled ? TraceFlags.SAMPLED : TraceFlags.NONE,
  isRemote: true,
});

const toParentContext = (parent: TraceContext | undefined): Context =>
  parent === undefined ? ROOT_CONTEXT : trace.setSpanContext(ROOT_CONTEXT, toSpanContext(parent));

const filterDefined = (
  attributes: SpanAttributes | undefined,
): Record<string, string | number | boolean> => {
  const defined: Record<string, string | number | boolean> = {};
  for (const [name, value] of Object.entries(attributes ?? {})) {
    if (value !== undefined) defined[name] = value;
  }
  return defined;
};

const finishSpan = (span: Span, end: SpanEnd): void => {
  span.setAttributes(filterDefined(end.attributes));
  if (end.code !== undefined) {
    span.setAttribute('result.code', end.code);
    span.setStatus({ code: SpanStatusCode.ERROR });
  }
  span.end();
};

const wrapSpan = (span: Span): HopSpan => {
  const { traceId, spanId, traceFlags } = span.spanContext();
  const isSampled = (traceFlags & TraceFlags.SAMPLED) !== 0;
  const context: TraceContext = { traceId, spanId, isSampled };
  return {
    context,
    traceparent: formatTraceparent(context),
    setAttributes: (attributes) => {
      span.setAttributes(filterDefined(attributes));
    },
    addEvent: (name, attributes) => {
      span.addEvent(name, filterDefined(attributes));
    },
    finish: (end = {}) => finishSpan(span, end),
  };
};

const toTracesUrl = (address: string): string => {
  const url = new URL(address);
  return url.pathname === '/' ? new URL(limits.OTLP_TRACES_PATH, url).href : url.href;
};

const createExporter = (address: string, options: TracingOptions): SpanExporter => {
  const exporter = new OTLPTraceExporter({
    url: toTracesUrl(address),
    timeoutMillis: limits.EXPORT_TIMEOUT_MS,
  });
  return {
    export: (spans, onDone) => {
      exporter.export(spans, (result) => {
        if (result.code === ExportResultCode.FAILED) options.onExportError?.(result.error);
        onDone(result);
      });
    },
    forceFlush: () => exporter.forceFlush(),
    shutdown: () => exporter.shutdown(),
  };
};

const createExportProcessors = (options: TracingOptions): readonly SpanProcessor[] => {
  if (options.otlpAddress === undefined) return [];
  const processor = new BatchSpanProcessor(createExporter(options.otlpAddress, options), {
    maxQueueSize: limits.EXPORT_QUEUE_LIMIT,
    maxExportBatchSize: limits.EXPORT_BATCH_LIMIT,
    scheduledDelayMillis: options.exportIntervalMs ?? limits.EXPORT_INTERVAL_MS,
    exportTimeoutMillis: limits.EXPORT_TIMEOUT_MS,
  });
  return [processor];
};

const createRecentProcessor = (recent: RecentTraceBuffer): SpanProcessor => ({
  onStart: () => undefined,
  onEnd: (span) => recent.add(span),
  forceFlush: () => Promise.resolve(),
  shutdown: () => Promise.resolve(),
});

/**
 * Starts tracing for one daemon.
 *
 * @param options - identity of the daemon, and the address of the collector if spans are exported
 * @returns the tracer and the buffer of recent traces
 */
export const startTracing = (options: TracingOptions): Tracing => {
  const recent = new RecentTraceBuffer(
    options.vm,
    options.recentTraceLimit ?? limits.RECENT_TRACE_LIMIT,
  );
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': options.program ?? 'sardinegrade-entry',
      'service.instance.id': options.vm,
      'cloud.availability_zone': options.dataCentre,
    }),
    spanProcessors: [createRecentProcessor(recent), ...createExportProcessors(options)],
  });
  const tracer = provider.getTracer('sardinegrade');
  const startSpan = (hop: Hop, { parent, requestId, attributes }: SpanOptions = {}): HopSpan => {
    const definedAttributes = filterDefined({ 'request.id': requestId, ...attributes });
    const kind = SPAN_KIND[hop];
    return wrapSpan(
      tracer.startSpan(hop, { kind, attributes: definedAttributes }, toParentContext(parent)),
    );
  };
  return {
    startSpan,
    recent,
    flush: () => provider.forceFlush().catch(() => undefined),
    stop: () => provider.shutdown().catch(() => undefined),
  };
};

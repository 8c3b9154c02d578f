/** Tracing: a span per hop, W3C trace context, a buffer of recent traces and export over OTLP/HTTP. */
export * from './enums.js';
export * from './startTracing.js';
export * from './traceparent.js';
export type * from './types.js';

/** Traces that the recent-trace buffer keeps. */
export const RECENT_TRACE_LIMIT = 256;

/** Spans kept of one recent trace. */
export const RECENT_SPAN_LIMIT = 64;

/** Spans that wait for export before further ones are dropped. */
export const EXPORT_QUEUE_LIMIT = 2_048;

/** Spans sent in one export call. */
export const EXPORT_BATCH_LIMIT = 256;

/** Time between two exports. */
export const EXPORT_INTERVAL_MS = 2_000;

/** Longest that an export may take. */
export const EXPORT_TIMEOUT_MS = 5_000;

/** Path of the OTLP/HTTP traces signal, added where the configured address names none. */
export const OTLP_TRACES_PATH = '/v1/traces';

/** Maximum traces in the buffer of recent traces. */
export const RECENT_TRACE_LIMIT = 256;

/** Maximum spans, and maximum request ids, of one trace in the buffer. */
export const RECENT_SPAN_LIMIT = 64;

/** Maximum spans queued for export; further ones are dropped. */
export const EXPORT_QUEUE_LIMIT = 2_048;

/** Maximum spans in one export call. */
export const EXPORT_BATCH_LIMIT = 256;

/** Interval between two exports. */
export const EXPORT_INTERVAL_MS = 2_000;

/** Timeout of one export call. */
export const EXPORT_TIMEOUT_MS = 5_000;

/** Default path of the OTLP/HTTP traces endpoint, used if the configured address has no path. */
export const OTLP_TRACES_PATH = '/v1/traces';

/**
 * Interval at which dispatchers check their engines and grants and refuse queued requests that can't meet their
 * deadlines; also the retry delay suggested by a host that doesn't have the shard yet.
 */
export const TICK_INTERVAL_MS = 50;

/**
 * Interval at which a dispatcher polls the load of its engines; also the delay before a failed read of cache events is
 * repeated.
 */
export const LOAD_POLL_INTERVAL_MS = 1_000;

/** Timeout of a long poll for cache events of an engine. */
export const CACHE_EVENT_WAIT_MS = 10_000;

/**
 * Interval at which a dispatcher sends heartbeats to daemons that wait for its decisions; also the interval at which
 * these daemons check whether the session has timed out.
 */
export const SESSION_HEARTBEAT_MS = 250;

/** Minimum interval between two messages of a session that contain shard loads. */
export const LOAD_REPORT_INTERVAL_MS = 1_000;

/** A dispatcher with undecided requests that has sent nothing for this long is considered unavailable. */
export const SESSION_TIMEOUT_MS = 1_000;

/** How long an unavailable dispatcher is skipped before it is tried again. */
export const UNAVAILABLE_DISPATCHER_COOLDOWN_MS = 3_000;

/** A shard that has received no grant request for this long is removed from its host. */
export const IDLE_SHARD_MS = 60_000;

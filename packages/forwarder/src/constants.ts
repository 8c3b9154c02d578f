/** Timeout for connecting to a worker, in milliseconds: a few round trips between data centres. */
export const CONNECT_TIMEOUT_MS = 400;

/** Maximum size of an answer of a plain service, in bytes. Such answers are buffered completely. */
export const MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;

/** Maximum number of bytes of unfinished answers that a VM holds; the smallest VMs have 250 MB in all. */
export const MAX_HELD_ANSWER_BYTES = 32 * 1_024 * 1_024;

/** Maximum size of one event of a stream, in bytes. Events are relayed once they are complete. */
export const MAX_EVENT_BYTES = 256 * 1_024;

/** Maximum size of the head of a worker's answer, in bytes. */
export const MAX_ANSWER_HEAD_BYTES = 32 * 1_024;

/**
 * Time after a request's deadline in which a worker's own answer is still awaited, in milliseconds: well below the half
 * second after which the host platform's operators count a request as overdue.
 */
export const ANSWER_GRACE_MS = 80;

/** Time limit of a request whose caller sends no deadline, in milliseconds; the limit of the route applies as well. */
export const DEFAULT_TIMEOUT_MS = 10_000;

/** Maximum idle time of a connection that is reused for a repeatable request, in milliseconds. */
export const REPEATABLE_REUSE_MS = 4_000;

/**
 * Maximum idle time of a connection that is reused for a request that may not be repeated, in milliseconds. Such a
 * request is lost if the worker closes the connection at the same time.
 */
export const UNREPEATABLE_REUSE_MS = 1_500;

/** Idle time after which a connection is closed, in milliseconds. */
export const IDLE_CLOSE_MS = 5_000;

/** Interval at which idle connections are checked, in milliseconds. */
export const IDLE_SWEEP_INTERVAL_MS = 1_000;

/** Timeout for connecting to a worker, in milliseconds: a few round trips between data centres. */
export const CONNECT_TIMEOUT_MS = 400;

/** Time after which callers may retry a request that was refused because of too many others, in milliseconds. */
export const CROWDED_RETRY_MS = 1_000;

/** Maximum size of one event of a stream, in bytes. Events are relayed once they are complete. */
export const MAX_EVENT_BYTES = 256 * 1_024;

/**
 * Maximum number of bytes that a connection receives before an answer's head is complete, including informational
 * answers: 32 KiB of a head, and one read of 64 KiB, which may already contain the start of the body.
 */
export const MAX_BYTES_BEFORE_HEAD = 96 * 1_024;

/**
 * Maximum number of bytes that a connection receives after an answer's head without any byte of its body: extensions of
 * chunks, or trailers. It includes one read of 64 KiB.
 */
export const MAX_BYTES_WITHOUT_BODY = 96 * 1_024;

/**
 * undici's own limit of a head, in bytes. It must not be reached: undici then creates an error for each further header
 * that it has received, which blocks the process for tens of milliseconds.
 */
export const PARSER_HEAD_LIMIT_BYTES = 2 * MAX_BYTES_BEFORE_HEAD;

/**
 * Time from the first byte of an answer to the end of its head after which the worker counts as silent, in milliseconds. The
 * request goes on: no other worker may be able to serve it.
 */
export const HEAD_TIMEOUT_MS = 2_000;

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

/** Time after which callers may retry a request at another VM, in milliseconds. */
export const DRAINING_RETRY_MS = 100;

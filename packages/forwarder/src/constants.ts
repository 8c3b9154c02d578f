/** Longest wait for a new connection to a worker, in milliseconds: a few round trips between data centres. */
export const CONNECT_TIMEOUT_MS = 400;

/** Answers of plain services are held whole; larger ones are given up, in bytes. */
export const MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;

/** Largest answer head of a worker, in bytes. */
export const MAX_ANSWER_HEAD_BYTES = 32 * 1_024;

/**
 * How long after the time that a worker was given its own answer is waited for, in milliseconds. The
 * users count a request as held too long half a second after its limit.
 */
export const ANSWER_GRACE_MS = 80;

/** Time limit of a request whose caller and route name none, in milliseconds. */
export const DEFAULT_TIMEOUT_MS = 10_000;

/** Idle connections are reused up to this age for work that may be repeated, in milliseconds. */
export const REPEATABLE_REUSE_MS = 4_000;

/** The same for work that may not be repeated, which a connection that closes at that moment would lose. */
export const UNREPEATABLE_REUSE_MS = 1_500;

/** Idle connections older than this are closed, in milliseconds. */
export const IDLE_CLOSE_MS = 5_000;

/** How often idle connections are looked over, in milliseconds. */
export const IDLE_SWEEP_INTERVAL_MS = 1_000;

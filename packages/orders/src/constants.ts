import type { OrderTimings } from './types.js';

/** Kind of the platform's objects that hold order records. */
export const ORDER_KIND = 'order';

/** Kind of the platform's objects that name the open orders of a daemon. */
export const OPEN_LIST_KIND = 'order-open';

/** How long an order is open before its daemon's list names it. */
export const OPEN_AFTER_MS = 1_000;

/** How long a list of open orders may stand unchanged before its daemon is taken to be gone. */
export const OPEN_LIST_STALE_MS = 600_000;

/** Largest answer body kept in a record; base64 and JSON escapes stay below the platform's megabyte. */
export const ANSWER_KEEP_LIMIT_BYTES = 256 * 1024;

/** Largest request body kept for a take-over. */
export const REQUEST_KEEP_LIMIT_BYTES = 128 * 1024;

/** Longest `Idempotency-Key`. */
export const KEY_LENGTH_LIMIT = 255;

/** Newest lines of the audit trail that a record keeps. */
export const AUDIT_LIMIT = 50;

/** Longest reason in a line of the audit trail. */
export const REASON_LENGTH_LIMIT = 500;

/** Writes that an order needs from its first record to its last. */
export const WRITES_PER_ORDER = 2;

/** Orders that wait for a place in one service at one daemon, before new ones are refused. */
export const WAITING_LIMIT = 200;

/** Dispatches renewed because the platform took longer than the call window. */
export const RENEWAL_LIMIT = 3;

/** A record stands for this many retention periods before its key is forgotten. */
export const RETENTION_PERIODS = 2;

/** Failed writes in a row after which the platform is taken to be down. */
export const DOWN_AFTER_FAILURES = 5;

export const RETRY_FIRST_MS = 50;
export const RETRY_LONGEST_MS = 5_000;
export const IN_PROGRESS_RETRY_AFTER_MS = 1_000;
export const UNKNOWN_RETRY_AFTER_MS = 30_000;
export const PLATFORM_RETRY_AFTER_MS = 2_000;

/** Part of the writes that stays free for settlements when old records are removed. */
export const REMOVAL_RESERVE = 0.5;

export const DEFAULT_ORDER_TIMINGS: OrderTimings = {
  callWindowMs: 2_000,
  callTimeoutMs: 30_000,
  flightMarginMs: 30_000,
  clockMarginMs: 600_000,
  takeOverAfterMs: 10_000,
  acceptTimeoutMs: 3_000,
  recordWaitMs: 500,
};

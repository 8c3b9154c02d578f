import type { OrderTimings } from './types.js';

/** Kind of the platform objects that store order records. */
export const ORDER_KIND = 'order';

/** Kind of the platform objects that list the open orders of a daemon. */
export const OPEN_LIST_KIND = 'order-open';

/** An order that has been open for this long is added to its daemon's list of open orders. */
export const LONG_OPEN_AFTER_MS = 1_000;

/** A daemon whose list of open orders has not changed for this long counts as gone. */
export const OPEN_LIST_STALE_MS = 600_000;

/** Largest answer body stored in a record; with base64 and JSON escapes it fits the platform's limit of 1 MB. */
export const ANSWER_KEEP_LIMIT_BYTES = 256 * 1024;

/** Largest request body stored so that another daemon can take the order over. */
export const REQUEST_KEEP_LIMIT_BYTES = 128 * 1024;

/** Maximum length of an `Idempotency-Key`, in characters. */
export const KEY_LENGTH_LIMIT = 255;

/** Number of audit entries that a record keeps; older ones are dropped. */
export const AUDIT_LIMIT = 50;

/** Maximum length of the reason in an audit entry, in characters. */
export const REASON_LENGTH_LIMIT = 500;

/** Platform writes that an order needs from its first record to its last. */
export const WRITES_PER_ORDER = 2;

/** Orders that may wait for a slot of one service on one daemon; further ones are refused. */
export const WAITING_LIMIT = 200;

/** Maximum number of times that a dispatch is renewed because storing it took longer than the call window. */
export const RENEWAL_LIMIT = 3;

/** Number of retention periods after settlement before a record may be removed and its key used again. */
export const RETENTION_PERIODS = 2;

/** Consecutive failed writes after which the platform counts as down. */
export const DOWN_AFTER_FAILURES = 5;

export const RETRY_INITIAL_DELAY_MS = 50;
export const RETRY_MAX_DELAY_MS = 5_000;
export const IN_PROGRESS_RETRY_AFTER_MS = 1_000;
export const UNKNOWN_RETRY_AFTER_MS = 30_000;
export const PLATFORM_RETRY_AFTER_MS = 2_000;

/** Share of the write budget that must be free before old records are removed; it is reserved for settlements. */
export const REMOVAL_MIN_FREE_SHARE = 0.5;

export const DEFAULT_ORDER_TIMINGS: OrderTimings = {
  callWindowMs: 2_000,
  callTimeoutMs: 30_000,
  flightMarginMs: 30_000,
  clockMarginMs: 600_000,
  takeOverAfterMs: 10_000,
  acceptTimeoutMs: 3_000,
  recordWaitMs: 500,
};

/** Maximum size of an answer of a plain service, in bytes. Such answers are buffered completely. */
export const MAX_ANSWER_BYTES = 16 * 1_024 * 1_024;

/** Maximum number of bytes of unfinished answers that a VM holds; the smallest VMs have 250 MB in all. */
export const MAX_HELD_ANSWER_BYTES = 32 * 1_024 * 1_024;

/** Maximum memory of the large ones among the heads of requests in progress, in bytes. */
export const MAX_HELD_HEAD_BYTES = 16 * 1_024 * 1_024;

/**
 * Maximum number of lines of a head. A head of 16 KiB has fewer; Node drops the lines beyond it without a sign, so that a request
 * with as many is refused.
 */
export const MAX_HEAD_LINES = 4_200;

/** Maximum number of bytes of requests' bodies that a VM holds, from their arrival until their answers have ended. */
export const MAX_HELD_BODY_BYTES = 40 * 1_024 * 1_024;

/** Maximum number of bytes of whole answers that a VM holds because their callers have not read them. */
export const MAX_UNREAD_ANSWER_BYTES = 24 * 1_024 * 1_024;

/** Number of bytes of released messages after which a VM collects garbage; a collection takes some 10 ms. */
export const MAX_RELEASED_BYTES = 24 * 1_024 * 1_024;

/** Time without progress after which the connection of a caller that does not read its answer is closed, in milliseconds. */
export const UNREAD_TIMEOUT_MS = 10_000;

/**
 * Maximum number of requests of one connection without a whole answer. Callers rarely send a request before the last answer;
 * the connection of one that sends more is closed.
 */
export const MAX_PIPELINED_REQUESTS = 64;

/** Size up to which a request's body is read even if the others have used up the memory for them, in bytes. */
export const SPARED_BODY_BYTES = 64 * 1_024;

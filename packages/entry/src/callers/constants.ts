/** Maximum length of an `x-request-id` that is accepted from a caller. */
export const REQUEST_ID_LIMIT_CHARACTERS = 128;

/** Time limit for receiving a complete body. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** How long an idle connection is kept open; longer than the idle timeout of the load balancer. */
export const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Time after which callers may retry a request that was refused because of too many others. */
export const CROWDED_RETRY_MS = 1_000;

/** Copies of a body until its request has ended: as received, parsed, and as it is sent to the upstream. */
export const BODY_COPIES = 3;

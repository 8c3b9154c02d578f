/** Maximum length of an `x-request-id` that is accepted from a caller. */
export const REQUEST_ID_LIMIT_CHARACTERS = 128;

/** Time limit for receiving the headers of a request. */
export const HEADERS_TIMEOUT_MS = 10_000;

/** Time limit for receiving a complete request. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** How long an idle connection is kept open; longer than the idle timeout of the load balancer. */
export const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Maximum total size of the headers of a request. */
export const HEADER_LIMIT_BYTES = 16_384;

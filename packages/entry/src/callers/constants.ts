/** Longest `x-request-id` that is taken from a caller. */
export const REQUEST_ID_LIMIT = 128;

/** Time in which a caller must have sent its headers. */
export const HEADERS_TIMEOUT_MS = 10_000;

/** Time in which a caller must have sent its whole request. */
export const BODY_TIMEOUT_MS = 30_000;

/** How long an idle caller's connection is kept; longer than the balancer's own. */
export const KEEP_ALIVE_TIMEOUT_MS = 75_000;

/** Size of all headers of a request at most. */
export const HEADER_LIMIT_BYTES = 16_384;

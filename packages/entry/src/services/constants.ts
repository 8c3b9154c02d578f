/** Largest answer of a plain service that a daemon holds. */
export const ANSWER_LIMIT_BYTES = 16 * 1024 * 1024;

/** How long a connection to a service's upstream may take to open. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** How long a status look-up may take. */
export const LOOKUP_TIMEOUT_MS = 2_000;

/** When a caller may ask again after a service failed. */
export const RETRY_LATER_MS = 1_000;

/** Headers of a caller's request that its service receives. Keys of workspaces are never passed on. */
export const REQUEST_HEADERS = [
  'accept',
  'accept-language',
  'content-encoding',
  'content-language',
  'content-type',
  'if-match',
  'if-modified-since',
  'if-none-match',
  'if-unmodified-since',
  'prefer',
  'range',
] as const;

/** Headers of a service's answer that its caller receives, and that records keep. */
export const ANSWER_HEADERS = [
  'accept-ranges',
  'cache-control',
  'content-disposition',
  'content-encoding',
  'content-language',
  'content-location',
  'content-range',
  'content-type',
  'etag',
  'expires',
  'last-modified',
  'link',
  'location',
  'retry-after',
  'vary',
] as const;

export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
export const ATTEMPT_ID_HEADER = 'x-attempt-id';
export const REQUEST_ID_HEADER = 'x-request-id';

/** Timeout for opening a connection to an upstream. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Timeout of a status look-up. */
export const STATUS_LOOKUP_TIMEOUT_MS = 2_000;

/** Retry delay that is suggested to a caller after a service failed. */
export const RETRY_AFTER_MS = 1_000;

/** Headers of a caller's request that are forwarded to the service. Workspace keys are never forwarded. */
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

/** Headers of a service's answer that are forwarded to the caller and stored with the order. */
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

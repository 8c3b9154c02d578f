/** Largest answer of a plain service that a daemon holds. */
export const ANSWER_LIMIT_BYTES = 16 * 1024 * 1024;

/** How long a connection to a service's upstream may take to open. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** How long a status look-up may take. */
export const LOOKUP_TIMEOUT_MS = 2_000;

/** Retries saved up for a service at most. */
export const RETRY_BURST = 10;

export const RETRY_FIRST_MS = 20;
export const RETRY_LONGEST_MS = 1_000;

export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
export const ATTEMPT_ID_HEADER = 'x-attempt-id';
export const REQUEST_ID_HEADER = 'x-request-id';

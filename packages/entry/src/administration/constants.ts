/** Largest accepted request body; configuration texts are the largest bodies. */
export const BODY_LIMIT_BYTES = 1_048_576;

/** Maximum number of bytes of the bodies of all requests: room for some texts of the largest size. */
export const MAX_HELD_BYTES = 8 * BODY_LIMIT_BYTES;

/** Time limit for receiving a complete body. */
export const BODY_TIMEOUT_MS = 10_000;

/** Number of list entries when the request has no `limit` parameter. */
export const DEFAULT_LIST_LIMIT = 50;

/** Largest accepted `limit` parameter of a list. */
export const LIST_LIMIT = 500;

/** Unused: every route writes the API version as part of its path. */
export const API_VERSION = 'v1';

export const JSON_TYPE = 'application/json';
export const PROBLEM_TYPE = 'application/problem+json';
export const PROMETHEUS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

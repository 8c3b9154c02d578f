/** Largest accepted request body; configuration texts are the largest bodies. */
export const BODY_LIMIT_BYTES = 1_048_576;

/** Unused: the administration server has only Node's default timeout for receiving a request. */
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

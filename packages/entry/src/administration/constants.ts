/** Largest body taken, in bytes; a configuration text is the largest of them. */
export const BODY_LIMIT_BYTES = 1_048_576;

/** Longest wait for a request's body. */
export const BODY_TIMEOUT_MS = 10_000;

/** Entries of a list where the caller names no limit. */
export const DEFAULT_LIST_LIMIT = 50;

/** Most entries of a list in one answer. */
export const LIST_LIMIT = 500;

/** Version of the API, the first part of its paths. */
export const API_VERSION = 'v1';

export const JSON_TYPE = 'application/json';
export const PROBLEM_TYPE = 'application/problem+json';
export const PROMETHEUS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

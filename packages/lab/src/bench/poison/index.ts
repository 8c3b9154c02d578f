/** Bench `poison` of the request path. */
export * from './poison.js';

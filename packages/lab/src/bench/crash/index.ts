/** Bench `crash` of the request path. */
export * from './crash.js';

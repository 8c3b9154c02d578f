/** Bench `silent` of the request path. */
export * from './silent.js';

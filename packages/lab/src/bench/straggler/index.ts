/** Bench `straggler` of the request path. */
export * from './straggler.js';

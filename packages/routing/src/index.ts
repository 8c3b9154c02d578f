/**
 * Decision logic of the forwarder: route lookup, worker state, placement, queueing and retries. It does no I/O; the
 * caller passes in the current time and the source of randomness.
 */
export * from './configuration/index.js';
export * from './limits/index.js';
export * from './load/index.js';
export * from './notices/index.js';
export * from './pace/index.js';
export * from './placement/index.js';
export * from './quarantine/index.js';
export * from './refusal/index.js';
export * from './retries/index.js';
export { MAX_SENT_ENTRIES } from './sharing/index.js';
export * from './streams/index.js';
export * from './waiting/index.js';
export * from './workers/index.js';

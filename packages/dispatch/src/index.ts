/** Admission, queueing, routing and preemption: pure decisions, with time and randomness passed in. */
export * from './alone/index.js';
export * from './createDispatcher.js';
export * from './enums.js';
export * from './random.js';
export * from './retries/index.js';
export * from './shards/index.js';
export type * from './types.js';

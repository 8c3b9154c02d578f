/** Admission, queueing, routing and preemption as deterministic functions; time and randomness are passed in. */
export * from './localDecision/index.js';
export * from './createDispatcher.js';
export * from './enums.js';
export * from './random.js';
export * from './retries/index.js';
export * from './shards/index.js';
export type * from './types.js';

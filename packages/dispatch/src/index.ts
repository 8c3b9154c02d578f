/** Admission, queueing, routing and preemption: pure decisions, with time and randomness passed in. */
export * from './createDispatcher.js';
export * from './enums.js';
export type * from './types.js';

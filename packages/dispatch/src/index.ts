/** Admission, queueing, routing and preemption: pure decisions, with time and randomness passed in. */
export * from './enums.js';
export type * from './types.js';

/** Bench of demand above capacity. */
export * from './overload.js';

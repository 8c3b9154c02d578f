/** Benchmark of orders that may not be repeated. */
export * from './ordersBench.js';
export * from './runOrdersBench.js';
export * from './types.js';

/** Runs benchmarks and prints their results. */
export * from './formatTable.js';
export * from './runBench.js';
export * from './targets.js';
export type * from './types.js';

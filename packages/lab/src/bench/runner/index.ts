/** Runs benches by name and prints what they found. */
export * from './formatTable.js';
export * from './runBench.js';
export * from './targets.js';
export type * from './types.js';

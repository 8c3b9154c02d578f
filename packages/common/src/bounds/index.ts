/** Bounds of numbers that callers, workers and other VMs name. */
export * from './constants.js';
export * from './parsePositive.js';

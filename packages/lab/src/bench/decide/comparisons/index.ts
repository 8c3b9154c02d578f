/** Compares policies in a discrete-time simulation of engines, without processes or a cluster. */
export * from './runComparisons.js';

/** Comparisons of policies in discrete time, against a model of engines: no processes, no cluster. */
export * from './runComparisons.js';

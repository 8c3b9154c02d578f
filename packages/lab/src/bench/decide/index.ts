/** Bench of the dispatcher's decisions: their cost, and comparisons of policies against a model of engines. */
export * from './decide.js';

/** The benchmark `decide`: the cost of dispatcher decisions, and policies compared on simulated engines. */
export * from './decide.js';

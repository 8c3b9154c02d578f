/** The baseline: first come first served, round robin, with no regard for tiers or engine health. */
export * from './createNaiveDispatcher.js';

/** Baseline policy: first come, first served with round robin, ignoring tiers, shares and engine speed. */
export * from './createNaiveDispatcher.js';

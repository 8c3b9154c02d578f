/** State charts: JSON files that are evaluated once, at startup, into transition tables. */
export * from './buildTransitionTable.js';

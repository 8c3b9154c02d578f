/** Bounded in-memory journal of the decisions of recent requests. */
export * from './createRequestJournal.js';
export * from './enums.js';
export type * from './types.js';

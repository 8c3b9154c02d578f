/** Decisions of a daemon that reaches no dispatcher. */
export * from './decideAlone.js';
export * from './enums.js';
export type * from './types.js';

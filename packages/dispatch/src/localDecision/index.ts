/** Engine selection by a daemon that cannot reach any dispatcher. */
export * from '../localDecision/decideLocally.js';
export * from '../localDecision/enums.js';
export type * from '../localDecision/types.js';

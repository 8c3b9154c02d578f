/** Processes that run nothing but fleet agents. */
export * from './NodeGroup.js';
export type * from './types.js';

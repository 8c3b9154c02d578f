/** Processes that run only fleet agents. */
export * from './NodeGroup.js';
export type * from './types.js';

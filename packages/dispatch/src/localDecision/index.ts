/** Engine selection by a daemon that cannot reach any dispatcher. */
export * from './decideLocally.js';
export * from './enums.js';
export type * from './types.js';

/** Keeping up with objects of the store by list and watch. */
export * from './syncObjects.js';
export type * from './types.js';

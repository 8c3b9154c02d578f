/** Synchronization with the objects of a store by list and watch. */
export * from './syncObjects.js';
export type * from './types.js';

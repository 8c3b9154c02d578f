/** Synchronization with the objects of a store by list and watch. */
export * from '../sync/enums.js';
export * from '../sync/syncObjects.js';
export type * from '../sync/types.js';

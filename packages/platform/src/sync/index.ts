/** Synchronization with the objects of a store by list and watch. */
export * from './buildFeedObject.js';
export * from './enums.js';
export * from './ObjectSync.js';
export * from './OutageEstimate.js';
export type * from './PeerFollower.js';
export * from './snapshotMessages.js';
export * from './StoreEra.js';
export type * from './types.js';
export * from './ValueSync.js';

/** Chooses the shard of a request and the daemon that dispatches a shard. */
export * from './chooseShard.js';
export * from './rankDispatchers.js';
export type * from './types.js';

/** Which shard and which daemon decide over a request. */
export * from './chooseShard.js';
export * from './rankDispatchers.js';
export type * from './types.js';

/** In-memory implementation of the platform's object API, with faults that can be switched on. */
export * from './createMemoryPlatform.js';
export type * from './types.js';

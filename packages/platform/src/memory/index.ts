/** The platform's object API in memory, with faults that can be switched on. */
export * from './createMemoryPlatform.js';
export type * from './types.js';

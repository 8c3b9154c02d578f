/** Decides how many workers of each kind each data centre has, and orders them. */
export * from './createScaler.js';
export * from './enums.js';
export * from './planCapacity.js';
export type * from './types.js';

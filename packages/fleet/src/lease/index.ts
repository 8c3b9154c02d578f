/** Leases: one holder at a time, by conditional writes and each daemon's own clock. */
export * from './constants.js';
export * from './createLeaseAgent.js';
export * from './enums.js';
export * from './reduceLease.js';
export type * from './types.js';

/** Leases with at most one holder at a time, based on conditional writes and each daemon's monotonic clock. */
export * from './constants.js';
export * from './createLeaseAgent.js';
export * from './enums.js';
export * from './reduceLease.js';
export type * from './types.js';

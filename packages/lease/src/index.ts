/**
 * Leases with at most one holder at a time, based on conditional writes and each daemon's monotonic clock.
 *
 * An order here is a command that the lease holder sends to an engine (see packages/controller), not a
 * caller's order of packages/orders.
 */
export * from './constants.js';
export * from './createLeaseAgent.js';
export * from './enums.js';
export * from './eraVersion.js';
export * from './reduceLease.js';
export type * from './types.js';

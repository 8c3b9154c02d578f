/** The fleet: membership, configuration, leases and access. */
export * from './configuration/index.js';
export * from './enums.js';
export * from './membership/index.js';
export type * from './types.js';

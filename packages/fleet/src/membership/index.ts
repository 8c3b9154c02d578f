/** Membership: gossip-based tracking of which daemons are alive, suspect, leaving or dead. */
export * from './codec.js';
export * from './constants.js';
export * from './createMembership.js';
export * from './createMembershipAgent.js';
export * from './enums.js';
export * from './members.js';
export * from './newsBuckets.js';
export * from './reduceMembership.js';
export type * from './types.js';

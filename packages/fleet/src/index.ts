/** Coordination of the daemons of a fleet: membership, configuration, leases, keys and certificates. */
export * from './access/index.js';
export * from './configuration/index.js';
export * from './createChannel.js';
export * from './createFleetAgent.js';
export * from './enums.js';
export * from './lease/index.js';
export * as Membership from './membership/index.js';
export { MemberState } from './membership/enums.js';
export type * from './types.js';

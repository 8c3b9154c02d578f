/** Coordination of the daemons of a fleet: membership, configuration, keys and certificates. */
export * from './access/index.js';
export * from './configuration/index.js';
export * from './createChannel.js';
export * from './createFleetAgent.js';
export * from './enums.js';
export * as Membership from './membership/index.js';
export { MemberState } from './membership/enums.js';
export type * from './types.js';

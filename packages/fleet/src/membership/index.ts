/** Membership: who is in the fleet, alive, leaving or dead. */
export * from './enums.js';

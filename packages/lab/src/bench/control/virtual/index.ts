/** Membership machines on virtual time, for sizes that one machine cannot run as processes. */
export * from './comparePartners.js';
export * from './measureSpread.js';
export * from './VirtualFleet.js';

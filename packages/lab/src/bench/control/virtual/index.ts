/** Simulates membership in virtual time, for fleets too large to run as processes on one machine. */
export * from './comparePartners.js';
export * from './measureSpread.js';
export * from './VirtualFleet.js';

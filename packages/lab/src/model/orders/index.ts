/** Simulates daemons, platform and service in virtual time; an oracle checks the results of orders. */
export * from './runOrderSchedule.js';
export type * from './types.js';

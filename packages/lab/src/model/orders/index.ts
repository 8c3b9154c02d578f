/** A model of daemons, platform and service in virtual time, with an oracle for orders. */
export * from './runOrderSchedule.js';
export type * from './types.js';

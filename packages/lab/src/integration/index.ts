/** What integration tests and benches of whole fleets share. */
export * from './RealFleet.js';

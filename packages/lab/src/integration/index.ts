/** Fleets of real daemons, shared by integration tests and benchmarks. */
export * from './RealFleet.js';

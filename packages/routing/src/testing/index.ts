/** Simulations that run load patterns through the decision logic. */
export * from './PlacementSimulation.js';
export * from './PartCrashSimulation.js';

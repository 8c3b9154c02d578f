/** Simulations that run load patterns through the decision logic. */
export * from './PlacementSimulation.js';
export * from './PartCrashSimulation.js';
export * from './RoomSimulation.js';
export * from './RefusalSimulation.js';

/** Workers as this VM sees them. */
export * from './WorkerFleet.js';

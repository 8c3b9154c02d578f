/** Limits that workers name for the requests of all VMs together. */
export * from './BrittleWorkers.js';
export * from './WorkerLimits.js';

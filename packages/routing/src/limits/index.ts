/** Limits that workers name for the requests of all VMs together. */
export * from './BrittleWorkerTracker.js';
export * from './computeLimitShare.js';
export * from './LimitBucket.js';
export * from './parseLimit.js';
export * from './types.js';
export * from './WorkerLimitTracker.js';

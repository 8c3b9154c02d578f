/** Registered workers and their health. */
export * from './WorkerDirectory.js';
export * from './WorkerHealth.js';
export type * from './types.js';

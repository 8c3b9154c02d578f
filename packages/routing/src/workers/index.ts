/** Which workers exist and how they have behaved. */
export * from './WorkerDirectory.js';
export * from './WorkerHealth.js';
export type * from './types.js';

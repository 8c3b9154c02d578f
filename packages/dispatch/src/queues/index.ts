/** Queues of waiting requests: by arrival within a workspace, by deficit round robin between workspaces. */
export * from './ArrivalQueue.js';
export * from './ClassQueue.js';
export type * from './types.js';

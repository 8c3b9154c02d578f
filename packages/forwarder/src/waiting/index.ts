/** Queue of requests that wait for engines. */
export * from './estimateWork.js';
export * from './RequestQueue.js';
export * from './WorkspaceShares.js';

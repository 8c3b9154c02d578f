/** Queue of requests that wait for engines. */
export * from './estimateDrain.js';
export * from './estimateWork.js';
export * from './RefusedRequests.js';
export * from './RequestQueue.js';
export * from './WorkspaceShares.js';

/** Helpers for tests. */
export * from './buildLoopbackHost.js';
export * from './checkCrowds.js';
export * from './readProcessUsage.js';
export * from './startCollectingGarbage.js';

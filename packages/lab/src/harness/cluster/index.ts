/** Whole clusters of real processes. */
export * from './configurationText.js';
export * from './EngineProcess.js';
export * from './startCluster.js';
export type * from './types.js';

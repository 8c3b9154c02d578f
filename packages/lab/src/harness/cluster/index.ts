/** Clusters of real processes: platform, engines and entry daemons. */
export * from './configurationText.js';
export * from './EngineProcess.js';
export * from './startCluster.js';
export type * from './types.js';

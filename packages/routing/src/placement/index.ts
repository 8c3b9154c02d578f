/** Chooses the worker that runs a request. */
export * from './chooseEngine.js';
export * from './chooseWorker.js';
export * from './normalizeParts.js';
export * from './constants.js';
export * from './EngineTracker.js';
export * from './EngineRanking.js';
export * from './LaneTable.js';
export * from './PrefixCacheModel.js';
export * from './shouldWait.js';
export type * from './types.js';

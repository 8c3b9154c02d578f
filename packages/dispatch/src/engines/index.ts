/** What the dispatcher knows of each engine: load, limit, speed, health and cached prefixes. */
export * from './updateLimit.js';
export * from './applyLoadReport.js';
export * from './createEngine.js';
export * from './engineHealth.js';
export * from './engineRoom.js';
export * from './PrefixCache.js';
export * from './OwnCountHistory.js';
export * from './stragglers.js';
export type * from './types.js';

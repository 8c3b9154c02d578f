/** State of each engine: load, concurrency limit, speed, health and cached prefixes. */
export * from './updateLimit.js';
export * from './applyLoadReport.js';
export * from './createEngine.js';
export * from './engineHealth.js';
export * from './engineCapacity.js';
export * from './PrefixCache.js';
export * from './GrantCountHistory.js';
export * from './checkStragglers.js';
export type * from './types.js';

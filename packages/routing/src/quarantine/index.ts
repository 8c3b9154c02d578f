/** Detects requests and prompt parts that crash workers, so that they can be refused. */
export * from './CrashTracker.js';
export * from './listRefusedParts.js';
export * from './PartCrashTracker.js';
export * from './types.js';

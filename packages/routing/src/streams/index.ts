/** Builds at which streams began, and may go on. */
export * from './BuildHistory.js';
export * from './BuildTable.js';
export * from './RouteHistory.js';
export * from './StreamOrigins.js';
export type * from './types.js';

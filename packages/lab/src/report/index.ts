/** Renders benchmark and load results as an HTML page with charts. */
export * from './renderReport.js';
export type * from './types.js';

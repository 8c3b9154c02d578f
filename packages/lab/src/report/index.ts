/** Reports of runs as HTML pages with plots. */
export * from './renderReport.js';
export type * from './types.js';

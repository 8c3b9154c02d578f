/** Metrics: counters, percentiles and recent attainment, with a limit on the number of series. */
export * from './constants.js';
export * from './createMetrics.js';
export * from './enums.js';
export type * from './types.js';

/** Open-loop load generator: derives seeded plans of requests, sends them and summarizes the results by class. */
export * from './computeSummaries.js';
export * from './deriveLoad.js';
export * from './random.js';
export * from './runLoad.js';
export * from './types.js';

/** Open load: seeded plans of requests, their sending, and figures by class. */
export * from './computeSummaries.js';
export * from './deriveLoad.js';
export * from './random.js';
export * from './runLoad.js';
export * from './types.js';

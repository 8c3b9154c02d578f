/** How the newest configuration reaches every daemon. */
export * from './constants.js';
export * from './createDistributionAgent.js';
export * from './enums.js';
export * from './reduceDistribution.js';
export type * from './types.js';

/** Distribution of the newest configuration to every daemon, from the platform and between peers. */
export * from './constants.js';
export * from './createDistributionAgent.js';
export * from './enums.js';
export * from './reduceDistribution.js';
export type * from './types.js';

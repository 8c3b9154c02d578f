/** The benchmark `orders`: orders that must run at most once. */
export * from './ordersBench.js';
export * from './runOrdersBench.js';
export * from './types.js';

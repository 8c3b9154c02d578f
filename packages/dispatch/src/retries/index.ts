/** Whether, when and how a failed call is repeated. */
export * from './computeBackoff.js';
export * from './decideRetry.js';
export * from './enums.js';
export * from './RetryBudget.js';
export type * from './types.js';

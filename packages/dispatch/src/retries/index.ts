/** Decides whether, when and how a failed call is retried. */
export * from './computeBackoffMs.js';
export * from './decideRetry.js';
export * from './enums.js';
export * from './RetryBudget.js';
export type * from './types.js';

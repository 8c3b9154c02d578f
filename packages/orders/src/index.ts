/**
 * Orders: calls to plain services that must not be repeated, identified by an `Idempotency-Key`. A record
 * in the platform ensures that each order runs at most once and that its outcome is not lost.
 */
export * from './constants.js';
export * from './enums.js';
export * from './orderName.js';
export * from './orderOperations.js';
export * from './orderService.js';
export * from './orderStates.js';
export * from './orderSweeper.js';
export * from './writeBudget.js';
export type * from './types.js';

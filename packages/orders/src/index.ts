/** Order records: calls that may not be repeated are carried out at most once, and none is lost. */
export * from './constants.js';
export * from './enums.js';
export * from './orderName.js';
export * from './orderOperations.js';
export * from './orderService.js';
export * from './orderStates.js';
export * from './orderSweeper.js';
export * from './writeBudget.js';
export type * from './types.js';

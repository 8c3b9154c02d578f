/** Calls to the host platform that one VM makes for all others: who makes them, usage reports and orders of workers. */
export * from './capacity/index.js';
export * from './enums.js';
export * from './holder/index.js';
export type * from './types.js';
export * from './usage/index.js';

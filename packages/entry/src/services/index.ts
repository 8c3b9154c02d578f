/** Calls to plain services: repeatable calls with retries, all others as orders. */
export * from './handleServiceCall.js';
export * from './repeatableCall.js';
export * from './serviceClient.js';
export type * from './types.js';

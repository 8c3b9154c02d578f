/** Calls to plain services: repeatable ones with retries, all others as orders. */
export * from './handleServiceCall.js';
export * from './repeatableCall.js';
export * from './serviceCaller.js';
export type * from './types.js';

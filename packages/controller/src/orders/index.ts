/** Orders to engines: what is to be ordered, how fast, and the calls. */
export * from './createEngineClient.js';
export * from './enums.js';
export * from './FailureBackoff.js';
export * from './LoadPacer.js';
export * from './deriveOrders.js';
export type * from './types.js';

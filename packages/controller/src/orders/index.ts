/** Orders to engines, such as loading a model: how they are derived, rate-limited and sent. */
export * from './createEngineClient.js';
export * from './enums.js';
export * from './FailureBackoff.js';
export * from './LoadLimiter.js';
export * from './deriveOrders.js';
export type * from './types.js';

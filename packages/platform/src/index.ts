/** Client of the platform's object API, and an in-memory implementation for tests. */
export * from './answerLimit.js';
export * from './constants.js';
export * from './createPlatformClient.js';
export * from './memory/index.js';
export * from './sync/index.js';
export * from './PlatformError.js';
export * from './RenewablePool.js';
export * from './types.js';
export * from './writeConfirmed.js';

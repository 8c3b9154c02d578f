/** Client of the platform's object API. */
export * from './PlatformError.js';
export * from './types.js';

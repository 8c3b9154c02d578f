/** Stand-in for the platform's object API. */
export * from './startPlatform.js';

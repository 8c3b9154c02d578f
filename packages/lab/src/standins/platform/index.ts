/** Stand-in of the platform's object API. */
export * from './startPlatform.js';

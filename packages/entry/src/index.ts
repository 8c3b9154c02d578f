/** The entry daemon. */
export * from './grants/index.js';
export * from './services/index.js';

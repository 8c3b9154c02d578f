/** The entry daemon. */
export * from './grants/index.js';

/** The entry daemon. */
export * from './administration/index.js';
export * from './grants/index.js';

/** Identifiers shared by all packages. */
export * from './toBranded.js';
export type * from './types.js';

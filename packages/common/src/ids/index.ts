/** Identifiers shared by all packages. */
export * from './brand.js';
export type * from './types.js';

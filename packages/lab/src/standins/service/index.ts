/** Stand-in of a plain service. */
export * from './startService.js';
export * from './types.js';

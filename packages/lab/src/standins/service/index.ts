/** Stand-in for a plain service. */
export * from './startService.js';
export * from './types.js';

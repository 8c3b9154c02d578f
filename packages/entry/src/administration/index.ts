/** The administration API: an HTTP router on its own port, with keys and roles. */
export * from './journal/index.js';
export type * from './types.js';

/** The administration API: an HTTP router on its own port, with keys and roles. */
export * from './context/index.js';
export * from './createAdministrationHandler.js';
export * from './journal/index.js';
export * from './openApi.js';
export type * from './types.js';

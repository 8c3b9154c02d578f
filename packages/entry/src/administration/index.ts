/** The administration API: an HTTP API on a separate port, protected by keys and roles. */
export * from './context/index.js';
export * from './createAdministrationHandler.js';
export * from './journal/index.js';
export * from './openApi.js';
export type * from './types.js';

/** The entry daemon: accepts requests from callers, dispatches them and serves the administration API. */
export * from './administration/journal/index.js';
export * from './callers/index.js';
export * from './daemon/index.js';
export * from './grants/index.js';
export * from './health/index.js';
export * from './models/index.js';
export * from './retries/index.js';
export * from './settings/index.js';
export * from './services/index.js';

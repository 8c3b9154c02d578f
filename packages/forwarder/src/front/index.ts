/** HTTP server for callers. */
export * from './FrontServer.js';

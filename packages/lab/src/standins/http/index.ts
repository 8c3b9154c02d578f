/** A small HTTP server for the stand-ins, on Node's own. */
export * from './listenAddress.js';
export * from './messages.js';
export * from './routes.js';
export * from './startHttpServer.js';
export type * from './types.js';

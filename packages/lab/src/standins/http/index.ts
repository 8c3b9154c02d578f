/** Minimal HTTP server for the stand-ins, built on `node:http`. */
export * from './listenAddress.js';
export * from './messages.js';
export * from './routes.js';
export * from './startHttpServer.js';
export type * from './types.js';

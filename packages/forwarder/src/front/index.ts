/** The server that callers connect to. */
export * from './FrontServer.js';

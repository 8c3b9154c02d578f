/** Connections to workers. */
export * from './ConnectionPool.js';
export * from './WorkerConnection.js';

/** Connections to workers. */
export * from '../connections/ConnectionPool.js';
export * from '../connections/WorkerConnection.js';

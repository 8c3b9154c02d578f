/** Connections to workers. */
export * from './ConnectionPool.js';
export * from './parseAddress.js';
export * from './probePort.js';
export * from './WorkerConnection.js';

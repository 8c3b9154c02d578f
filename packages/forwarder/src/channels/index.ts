/** Connections to workers. */
export * from './ChannelPool.js';
export * from './WorkerChannel.js';

/** Limits of what clients can make a process hold: connections, requests, bodies and answers. */
export * from './ByteCollector.js';
export * from './CallerConnections.js';
export * from './constants.js';
export * from './deriveClientLimits.js';
export * from './GarbageCollector.js';
export * from './HeldBytes.js';
export * from './readBody.js';
export * from './TurnQueue.js';

/** Limits of what clients can make a process hold: connections, requests, bodies and answers. */
export * from './ByteCollector.js';
export * from './CallerConnections.js';
export * from './constants.js';
export * from './createLimitReporter.js';
export * from './deriveClientLimits.js';
export * from './GarbageCollector.js';
export * from './HeldBytes.js';
export * from './Ingress.js';
export * from './attachConnections.js';
export * from './measureHead.js';
export * from './MemoryGuard.js';
export * from './readBody.js';
export * from './readDescriptorLimit.js';
export * from './RequestSlots.js';
export * from './TurnQueue.js';
export * from './types.js';

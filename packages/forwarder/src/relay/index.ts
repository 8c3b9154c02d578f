/** Splits relayed streams into events, and limits how much of bodies is held. */
export * from './ByteCollector.js';
export * from './EventFramer.js';
export * from './GarbageCollector.js';
export * from './HeldBytes.js';
export * from './deriveClientLimits.js';
export * from './TurnQueue.js';

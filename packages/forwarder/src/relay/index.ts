/** Splits relayed streams into events, and limits how much of bodies is held. */
export * from './EventFramer.js';
export * from './HeldBytes.js';

/** Splits relayed streams into events. */
export * from './EventFramer.js';

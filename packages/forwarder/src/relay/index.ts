/** Relaying of answers. */
export * from './EventFramer.js';

/** TCP proxy that brings about faults between two processes. */
export * from './startFaultProxy.js';
export * from './types.js';

/** TCP proxy that injects faults into the connections between two processes. */
export * from './startFaultProxy.js';
export * from './types.js';

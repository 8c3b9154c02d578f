/** Stand-ins for outside systems, the fault proxy, and the harness that starts real processes. */
export * from './harness/index.js';
export * from './proxy/index.js';
export * from './standins/index.js';

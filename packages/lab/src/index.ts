/** Public API of the lab: process harness, fault proxy and stand-ins. */
export * from './harness/index.js';
export * from './proxy/index.js';
export * from './standins/index.js';

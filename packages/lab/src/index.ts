/** Stand-ins, fault proxy, load tool and benchmarks. */
export * from './harness/index.js';
export * from './proxy/index.js';
export * from './standins/index.js';

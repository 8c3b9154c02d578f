/** Stand-ins, fault proxy, load tool and benchmarks. */
export * from './standins/index.js';

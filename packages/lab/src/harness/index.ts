/** Starts, disturbs and reaps real processes for integration tests and benchmarks. */
export * from './cluster/index.js';
export * from './control.js';
export * from './formatIni.js';
export * from './ManagedProcess.js';
export * from './ProcessGroup.js';
export * from './processStats.js';
export * from './waitUntil.js';

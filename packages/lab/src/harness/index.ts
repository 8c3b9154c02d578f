/** Starts and stops real processes for integration tests and benchmarks, and triggers faults in them. */
export * from './cluster/index.js';
export * from './control.js';
export * from './formatIni.js';
export * from './ManagedProcess.js';
export * from './ProcessGroup.js';
export * from './processStats.js';
export * from './waitUntil.js';

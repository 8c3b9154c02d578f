/**
 * Code shared by all packages: identifiers, configuration types, errors, settings, time, logs,
 * traces and metrics.
 */
export * from './administration/index.js';
export * from './bounds/index.js';
export * from './charts/index.js';
export * from './configuration/index.js';
export * from './errors/index.js';
export * from './hashing/index.js';
export * from './ids/index.js';
export * from './logs/index.js';
export * from './metrics/index.js';
export * from './settings/index.js';
export * from './time/index.js';
export * from './traces/index.js';

/** The configuration: its text format, its store, and how it reaches every daemon. */
export * from './constants.js';
export * from './drains.js';
export * from './enums.js';
export * from './errors.js';
export * from './parseConfiguration.js';
export * from './store/index.js';
export type * from './types.js';

/** The configuration: its text format and how it reaches every daemon. */
export * from './constants.js';
export * from './enums.js';
export * from './errors.js';
export * from './parseConfiguration.js';
export type * from './types.js';

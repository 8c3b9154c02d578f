/** Types of a validated configuration. The fleet package parses and validates its text. */
export * from './constants.js';
export * from './enums.js';
export type * from './types.js';

/** The shape of a validated configuration. Parsing stands in the fleet package. */
export * from './constants.js';
export * from './enums.js';
export type * from './types.js';

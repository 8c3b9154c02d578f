/** The fleet's configuration: text format, validation, drain marks and storage. */
export * from './constants.js';
export * from './drains.js';
export * from './enums.js';
export * from './errors.js';
export * from './parseConfiguration.js';
export * from './store/index.js';
export type * from './types.js';

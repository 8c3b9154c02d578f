/** Storage of the configuration and its history in the platform. */
export * from './ConfigurationConflictError.js';
export * from './ConfigurationStore.js';
export * from './constants.js';
export * from './describeDifference.js';
export * from './recordCodec.js';

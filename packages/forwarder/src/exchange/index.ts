/** Handles one request of a caller, from its arrival to its final answer. */
export * from './admitRequest.js';
export * from './CallerAnswer.js';
export * from './decodeCaller.js';
export * from './Exchange.js';

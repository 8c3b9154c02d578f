/** The command line program for operators: a client of the administration API. */
export * from './client/index.js';
export * from './commands/index.js';
export * from './createEnvironment.js';
export * from './enums.js';
export * from './errors.js';
export * from './runProgram.js';
export type * from './types.js';

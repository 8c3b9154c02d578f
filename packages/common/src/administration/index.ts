/** The administration API's bodies, shared by the daemon that serves it and the command line that calls it. */
export * from './compareTexts.js';
export * from './enums.js';
export * from './resultAdvice.js';
export * from './schemas.js';
export * from './serviceState.js';
export type * from './types.js';

/** Request and response bodies of the administration API, shared by the daemon and the command-line client. */
export * from './compareIniTexts.js';
export * from './enums.js';
export * from './resultAdvice.js';
export * from './schemas.js';
export * from './serviceState.js';
export type * from './types.js';

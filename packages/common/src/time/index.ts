/** Clocks and time limits. */
export * from './clock.js';
export * from './runWithTimeLimit.js';

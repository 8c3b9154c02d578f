/** What workers state about themselves in the headers of their answers. */
export * from './LeavingTracker.js';
export * from './parseLeaving.js';
export * from './parseRetryAfter.js';
export * from './PauseTracker.js';
export * from './types.js';

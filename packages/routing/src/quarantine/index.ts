/** Requests that crash workers. */
export * from './CrashTracker.js';

/** Detects requests that crash workers, so that they can be quarantined. */
export * from './CrashTracker.js';

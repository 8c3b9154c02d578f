/** Requests that crash workers. */
export * from './CrashLedger.js';

/** Suspicion and quarantine of requests that crash the engines that run them. */
export * from './SuspicionTable.js';

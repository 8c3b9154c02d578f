/** Requests that crash the engines that run them: suspects and quarantine. */
export * from './SuspicionTable.js';

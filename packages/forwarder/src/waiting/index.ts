/** Requests that wait for engines. */
export * from './RequestQueue.js';

/** Queue of requests that wait for engines. */
export * from './RequestQueue.js';

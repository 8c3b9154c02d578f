/** Test utilities: a forwarder with scripted workers. */
export * from './startTestFleet.js';
export * from './startTestForwarder.js';
export * from './TestWorker.js';

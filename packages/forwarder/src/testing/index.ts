/** Test utilities: a forwarder with scripted workers. */
export * from './startTestForwarder.js';
export * from './TestWorker.js';

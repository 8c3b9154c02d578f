/** A forwarder with scripted workers, for tests. */
export * from './startTestForwarder.js';
export * from './TestWorker.js';

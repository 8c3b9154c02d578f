/** What workers state about themselves in the headers of their answers. */
export * from './WorkerNotices.js';

/** When queued requests are refused, and after what time their callers should retry. */
export * from './computePatience.js';
export * from './computeRetryAfter.js';
export * from './StreamPace.js';

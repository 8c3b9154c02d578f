/** Decisions of the routed forwarder: routes, workers, placement and retries, with time and randomness passed in. */
export * from './configuration/index.js';
export * from './load/index.js';
export * from './placement/index.js';
export * from './quarantine/index.js';
export * from './refusal/index.js';
export * from './retries/index.js';
export * from './waiting/index.js';
export * from './workers/index.js';

/** Clients of engines and plain services. */
export * from './types.js';

/** Clients of upstreams. */
export * from './engine/index.js';

/** The forwarder: an HTTP proxy that forwards callers' requests to workers and relays the answers. */
export * from './ForwarderState.js';
export * from './front/index.js';
export * from './links/index.js';
export * from './peers/index.js';
export * from './streams/index.js';
export type * from './types.js';
export * from './watchStalls.js';

/** Stand-ins for the outside systems of sardinegrade: platform, engines, plain services and weight store. */
export * from './engine/index.js';
export * from './platform/index.js';
export * from './service/index.js';
export * from './weights/index.js';
export type { StandIn } from './http/index.js';

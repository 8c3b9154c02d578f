/** Grants of engine slots: the broker that requests them, and the host of the dispatchers that give them. */
export * from './DispatchHost.js';
export * from './GrantBroker.js';
export * from './PeerSession.js';
export * from './createDispatchService.js';
export * from './shards.js';
export type * from './types.js';

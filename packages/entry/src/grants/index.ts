/** Grants of engine slots: asking for them, and running the dispatchers that give them. */
export * from './DispatchHost.js';
export * from './GrantBroker.js';
export * from './PeerSession.js';
export * from './serveSessions.js';
export * from './shards.js';
export type * from './types.js';

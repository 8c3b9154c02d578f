/** Calls between daemons for membership and configuration, and the credentials of all peer connections. */
export * from './constants.js';
export * from './createFleetConnections.js';
export * from './createFleetHandlers.js';
export * from './credentials.js';
export * from './openPeerPort.js';

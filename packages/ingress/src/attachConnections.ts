import { CallerConnections } from './CallerConnections.js';
import { UNREAD_TIMEOUT_MS } from './constants.js';
import { GarbageCollector } from './GarbageCollector.js';

import type { Server, ServerOptions } from 'node:http';
import type { CallerConnectionLimits } from './CallerConnections.js';
import type { LimitListener } from './types.js';

/** Interval at which Node and this package look for clients that are too slow, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
const HEAD_LIMIT_BYTES = 16_384;

/** Options of a server whose clients are not controlled. */
export const LIMITED_SERVER: Readonly<ServerOptions> = {
  maxHeaderSize: HEAD_LIMIT_BYTES,
  headersTimeout: HEADERS_TIMEOUT_MS,
  requestTimeout: REQUEST_TIMEOUT_MS,
  connectionsCheckingInterval: CHECK_INTERVAL_MS,
};

/** Limits of the connections to a port for operators and probes: few clients, which read their answers. */
const OPERATOR_CONNECTIONS: CallerConnectionLimits = {
  maxConnections: 128,
  maxPipelined: 8,
  unreadTimeoutMs: UNREAD_TIMEOUT_MS,
};

const OPERATOR_RELEASED_BYTES = 16 * 1_024 * 1_024;

/**
 * Creates the limits of the connections to a port for operators and probes.
 *
 * @param onLimit - called each time a client exceeds one of them
 * @returns the connections, which belong to no server yet
 */
export const createOperatorConnections = (onLimit?: LimitListener): CallerConnections =>
  new CallerConnections({
    ...OPERATOR_CONNECTIONS,
    onReleased: new GarbageCollector(OPERATOR_RELEASED_BYTES).recordReleased,
    ...(onLimit && { onLimit }),
  });

/**
 * Limits the connections of a server until it has closed.
 *
 * @param server - the server, created with `LIMITED_SERVER` or such options
 * @param connections - limits of its connections, which its request listener asks by `addAnswer`
 */
export const attachConnections = (server: Server, connections: CallerConnections): void => {
  // The size of a head is limited in bytes. Node drops the lines beyond a number of them without a sign.
  server.maxHeadersCount = 0;
  connections.attach(server);
  const timer = setInterval(() => connections.sweep(), CHECK_INTERVAL_MS);
  timer.unref();
  server.once('close', () => clearInterval(timer));
};

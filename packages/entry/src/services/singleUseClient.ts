import { buildConnector, Client } from 'undici';

import { CONNECT_TIMEOUT_MS } from './constants.js';

/** The call window had passed when the connection was open. */
export class CallWindowPassedError extends Error {
  constructor() {
    super('The time to call the service had passed when the connection was open.');
    this.name = 'CallWindowPassedError';
  }
}

const connectUpstream = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/**
 * Creates a client for one call over a new connection: one that was open before may have gone silent.
 *
 * @param address - the upstream's base address
 * @param canStart - asked on the open connection, right before the first byte
 * @returns the client; the caller destroys it
 */
export const createSingleUseClient = (address: string, canStart: () => boolean): Client =>
  new Client(address, {
    pipelining: 0,
    connect: (connectOptions, callback) => {
      connectUpstream(connectOptions, (...result) => {
        const [error, socket] = result;
        if (error !== null || canStart()) {
          callback(...result);
          return;
        }
        socket.destroy();
        callback(new CallWindowPassedError(), null);
      });
    },
  });

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/**
 * Tells whether a call failed before anything was sent.
 *
 * @param error - what the client reported
 * @returns true only where it is certain
 */
export const isBeforeSend = (error: unknown): boolean => {
  if (error instanceof CallWindowPassedError) return true;
  if (!(error instanceof Error)) return false;
  const { code, syscall } = error as NodeJS.ErrnoException;
  return syscall === 'connect' || CONNECT_ERROR_CODES.has(code ?? '');
};

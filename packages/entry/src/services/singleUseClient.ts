import { buildConnector, Client } from 'undici';

import { CONNECT_TIMEOUT_MS } from './constants.js';

/**
 * Thrown if `canStart` returns false once the connection is open: the call window, in which the call may be sent, has
 * ended.
 */
export class CallWindowPassedError extends Error {
  constructor() {
    super('The time to call the service had passed when the connection was open.');
    this.name = 'CallWindowPassedError';
  }
}

const connectUpstream = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/**
 * Creates a client for a single call over a new connection, because a reused connection may have stopped responding.
 *
 * @param address - the upstream's base address
 * @param canStart - checked once the connection is open, immediately before the first byte is sent
 * @returns the client; the caller has to destroy it
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
 * Checks whether a call failed before anything was sent.
 *
 * @param error - the error of the client
 * @returns true only if it is certain that nothing was sent
 */
export const hasFailedBeforeSend = (error: unknown): boolean => {
  if (error instanceof CallWindowPassedError) return true;
  if (!(error instanceof Error)) return false;
  const { code, syscall } = error as NodeJS.ErrnoException;
  return syscall === 'connect' || CONNECT_ERROR_CODES.has(code ?? '');
};

import { connect } from 'node:net';

import { CONNECT_TIMEOUT_MS } from '../constants.js';

/**
 * Checks whether nothing listens at the address of a worker, that is, its process has ended.
 *
 * @param address - `ip:port` of the worker
 * @returns true if the connection was refused; false if it was established, or after a timeout or another error
 */
export const isPortClosed = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const socket = connect({ host, port: Number(address.slice(separator + 1)) });
    socket.setTimeout(CONNECT_TIMEOUT_MS);
    const finish = (isClosed: boolean): void => {
      socket.destroy();
      resolve(isClosed);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED'));
  });

import { connect } from 'node:net';

import { parseAddress } from './parseAddress.js';

/** What a bare connection, on which nothing is sent, shows of a port. */
export enum PortState {
  Open = 'open',
  /** The connection was refused: nothing listens there. */
  Closed = 'closed',
  /** There was no answer in time, or another error. */
  Unknown = 'unknown',
}

/**
 * Opens and closes a bare connection.
 *
 * @param address - `ip:port` of a worker
 * @param timeoutMs - time in which it has to be established, in milliseconds
 * @returns the state of the port; unknown for an address to which no connection can be opened
 */
export const probePort = (address: string, timeoutMs: number): Promise<PortState> =>
  new Promise((resolve) => {
    const target = parseAddress(address);
    if (target === undefined) {
      resolve(PortState.Unknown);
      return;
    }
    const socket = connect(target);
    socket.setTimeout(timeoutMs);
    const finish = (state: PortState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.once('connect', () => finish(PortState.Open));
    socket.once('timeout', () => finish(PortState.Unknown));
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? PortState.Closed : PortState.Unknown),
    );
  });

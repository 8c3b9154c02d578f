import type { Socket } from 'node:net';
import type { ConnectionPath } from './enums.js';
import type { TunnelSocket } from './TunnelSocket.js';

/** Connection that carries the bytes of a worker. */
export type WorkerSocket = Socket | TunnelSocket;

/** A connection to a worker without another VM between. */
export interface DirectConnection {
  readonly path: ConnectionPath.Direct;
  readonly socket: Socket;
}

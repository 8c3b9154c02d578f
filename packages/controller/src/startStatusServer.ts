import { createServer } from 'node:http';

import {
  attachConnections,
  createOperatorConnections,
  LIMITED_SERVER,
} from '@sardinegrade/ingress';

import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Status of the controller, as served at `/status`. */
export interface ControllerStatus {
  /** Phase of the lease. */
  readonly phase: string;
  /** Fencing number of the lease; undefined while this controller may not send orders. */
  readonly fencing: number | undefined;
  /** Number of orders sent, by outcome. */
  readonly orders: Readonly<Record<string, number>>;
}

/** A status server and the address at which it listens. */
export interface StatusServer {
  readonly server: Server;
  /** `host:port`. */
  readonly address: string;
}

/**
 * Serves `/livez`, `/readyz` and `/status`.
 *
 * @param listen - `host:port`; port 0 lets the system choose
 * @param getStatus - returns the current status
 * @returns the server and its address
 */
export const startStatusServer = async (
  listen: string,
  getStatus: () => ControllerStatus,
): Promise<StatusServer> => {
  const connections = createOperatorConnections();
  const server = createServer(LIMITED_SERVER, (request, response) => {
    if (!connections.addAnswer(response)) return;
    const path = request.url ?? '';
    if (path === '/livez' || path === '/readyz') {
      response.end('ok\n');
      return;
    }
    if (path !== '/status') {
      response.writeHead(404).end();
      return;
    }
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(getStatus()));
  });
  attachConnections(server, connections);
  const [host, port] = listen.split(':');
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return { server, address: `${bound.address}:${bound.port}` };
};

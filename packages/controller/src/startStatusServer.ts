import { createServer } from 'node:http';

import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

/** What the controller shows of itself. */
export interface ControllerStatus {
  readonly phase: string;
  readonly fencing: number | undefined;
  readonly orders: Readonly<Record<string, number>>;
}

/** A server and where it listens. */
export interface StatusServer {
  readonly server: Server;
  /** `host:port`. */
  readonly address: string;
}

/**
 * Serves `/livez`, `/readyz` and `/status`.
 *
 * @param listen - `host:port`; port 0 lets the system choose
 * @param getStatus - the present status
 * @returns the server and its address
 */
export const startStatusServer = async (
  listen: string,
  getStatus: () => ControllerStatus,
): Promise<StatusServer> => {
  const server = createServer((request, response) => {
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
  const [host, port] = listen.split(':');
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return { server, address: `${bound.address}:${bound.port}` };
};

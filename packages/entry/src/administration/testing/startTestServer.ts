import { once } from 'node:events';
import { createServer } from 'node:http';

import { createAdministrationHandler } from '../createAdministrationHandler.js';

import type { AddressInfo } from 'node:net';
import type { AdministrationContext } from '../types.js';

/** A running server of the administration API. */
export interface TestServer {
  readonly address: string;
  readonly port: number;
  readonly close: () => void;
}

/**
 * Starts the administration API on a free local port.
 *
 * @param context - daemon state that the API reads and changes
 * @returns the listening server
 */
export const startTestServer = async (context: AdministrationContext): Promise<TestServer> => {
  const server = createServer(createAdministrationHandler(context)).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const close = (): void => {
    server.close();
    server.closeAllConnections();
  };
  return { address: `http://127.0.0.1:${port}`, port, close };
};

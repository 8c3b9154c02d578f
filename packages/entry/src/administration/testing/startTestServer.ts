import { once } from 'node:events';
import { createServer } from 'node:http';

import { createAdministrationHandler } from '../createAdministrationHandler.js';

import type { AddressInfo } from 'node:net';
import type { AdministrationContext } from '../types.js';

/** An administration API on a port of its own. */
export interface TestServer {
  readonly address: string;
  readonly port: number;
  readonly close: () => void;
}

/**
 * Serves the administration API for a test.
 *
 * @param context - the daemon's state
 * @returns the server, listening
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

import { once } from 'node:events';

import type { SocketAddress } from '@sardinegrade/common';
import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';

/**
 * Splits an address of the form `host:port`.
 *
 * @param address - a valid address
 * @returns host and port
 */
export const splitAddress = (address: string): SocketAddress => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/**
 * Starts an HTTP server on an address.
 *
 * @param server - the server
 * @param address - `host:port`; with port 0 the operating system chooses a free port
 * @returns the address on which the server listens
 * @throws Error if the port is already in use
 */
export const listenOn = async (server: Server, address: string): Promise<string> => {
  const { host, port } = splitAddress(address);
  server.listen(port, host);
  await once(server, 'listening');
  return `${host}:${(server.address() as AddressInfo).port}`;
};

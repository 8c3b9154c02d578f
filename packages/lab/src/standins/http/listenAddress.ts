import type { SocketAddress } from '@sardinegrade/common';
import type { AddressInfo } from 'node:net';

/**
 * Parses a listen address.
 *
 * @param text - `host:port`, or only a port to listen on the loopback address
 * @returns host and port
 * @throws Error if the port is not an integer between 0 and 65535
 */
export const parseListenAddress = (text: string): SocketAddress => {
  const separator = text.lastIndexOf(':');
  const host = separator < 0 ? '127.0.0.1' : text.slice(0, separator);
  const port = Number(text.slice(separator + 1));
  if (!Number.isInteger(port) || port < 0 || port > 65_535) {
    throw new Error(`invalid listen address '${text}': expected host:port`);
  }
  return { host, port };
};

/**
 * Formats the address that a server is bound to.
 *
 * @param address - the result of the server's `address()`
 * @returns `host:port`
 */
export const formatAddress = (address: AddressInfo | string | null): string => {
  if (address === null || typeof address === 'string')
    throw new Error('The server is not bound to a TCP port.');
  return `${address.address}:${address.port}`;
};

import type { SocketAddress } from '@sardinegrade/common';

const MAX_PORT = 65_535;

/**
 * Parses the address of a worker.
 *
 * @param address - `ip:port`
 * @returns host and port, or undefined if no connection can be opened to it
 */
export const parseAddress = (address: string): SocketAddress | undefined => {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  const isUsable = separator > 0 && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return isUsable ? { host, port } : undefined;
};

import { PortState, probePort } from '../connections/probePort.js';
import { CONNECT_TIMEOUT_MS } from '../constants.js';

/**
 * Checks whether nothing listens at the address of a worker, that is, its process has ended.
 *
 * @param address - `ip:port` of the worker
 * @returns true if the connection was refused; false if it was established, or after a timeout or another error
 */
export const isPortClosed = async (address: string): Promise<boolean> =>
  (await probePort(address, CONNECT_TIMEOUT_MS)) === PortState.Closed;

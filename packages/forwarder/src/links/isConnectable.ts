import { PortState, probePort } from '../connections/probePort.js';
import { PROBE_TIMEOUT_MS } from './constants.js';

/**
 * Checks whether a connection to a worker can be established. Nothing is sent.
 *
 * @param address - `ip:port` of the worker
 * @returns whether it was established in time
 */
export const isConnectable = async (address: string): Promise<boolean> =>
  (await probePort(address, PROBE_TIMEOUT_MS)) === PortState.Open;

import { LinkSign } from './enums.js';
import { TunnelServer } from './TunnelServer.js';

import type { ForwarderState } from '../ForwarderState.js';

/**
 * Creates the server that passes on tunnels for other VMs, as far as the state of this VM allows.
 *
 * @param state - state of the forwarder
 * @returns the server, which handles CONNECT requests
 */
export const createTunnelServer = (state: ForwarderState): TunnelServer =>
  new TunnelServer({
    isAvailable: () => !state.links.isLost,
    isDraining: () => state.isDraining,
    onUnreachable: () => void state.links.check(LinkSign.NotConnected),
    isKnownVm: (host) => state.tunnels.hasPeer(host),
    onBroken: (address, error) =>
      state.options.logger.info('tunnel ended early', { inputs: { address }, error }),
    isUsableWorker: (address) => state.isUsableAddress(address),
  });

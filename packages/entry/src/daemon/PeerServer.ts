import { promisify } from 'node:util';

import type { ServerCredentials } from '@grpc/grpc-js';
import { Server } from '@grpc/grpc-js';
import { DispatchProtocol, FleetProtocol } from '@sardinegrade/peer';

import { splitAddress } from './addresses.js';

const MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024;

/** The gRPC server for other daemons. */
export class PeerServer {
  readonly #server = new Server({
    'grpc.max_receive_message_length': MESSAGE_LIMIT_BYTES,
    'grpc.keepalive_time_ms': 10_000,
    'grpc.keepalive_timeout_ms': 2_000,
  });

  constructor(fleet: FleetProtocol.FleetServer, dispatch: DispatchProtocol.DispatchServer) {
    this.#server.addService(FleetProtocol.FleetService, fleet);
    this.#server.addService(DispatchProtocol.DispatchService, dispatch);
  }

  /**
   * Listens for other daemons.
   *
   * @param address - `host:port`; port 0 lets the system choose
   * @param credentials - plain, or TLS with the peer's certificate required
   * @returns the address that it listens on
   */
  readonly listen = async (address: string, credentials: ServerCredentials): Promise<string> => {
    const bind = promisify(this.#server.bindAsync.bind(this.#server));
    const port = await bind(address, credentials);
    return `${splitAddress(address).host}:${port}`;
  };

  readonly stop = (): void => this.#server.forceShutdown();
}

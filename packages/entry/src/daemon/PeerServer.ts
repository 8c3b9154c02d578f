import { promisify } from 'node:util';

import type { ServerCredentials } from '@grpc/grpc-js';
import { Server } from '@grpc/grpc-js';
import { DispatchProtocol, FleetProtocol } from '@sardinegrade/peer';

import { splitAddress } from './addresses.js';

const MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024;

/** The gRPC server for the fleet and dispatch services that other daemons call. */
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
   * Starts listening for connections of other daemons.
   *
   * @param address - `host:port`; with port 0 the operating system chooses a free port
   * @param credentials - insecure, or TLS that requires a client certificate
   * @returns the address on which the server listens
   */
  readonly listen = async (address: string, credentials: ServerCredentials): Promise<string> => {
    const bind = promisify(this.#server.bindAsync.bind(this.#server));
    const port = await bind(address, credentials);
    return `${splitAddress(address).host}:${port}`;
  };

  readonly stop = (): void => this.#server.forceShutdown();
}

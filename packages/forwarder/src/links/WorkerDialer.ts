import { toError } from '@sardinegrade/common';
import { buildConnector } from 'undici';

import { CONNECT_TIMEOUT_MS } from '../constants.js';
import { ConnectionPath, LinkSign } from './enums.js';
import { isConnectable } from './isConnectable.js';

import type { LinkMonitor } from './LinkMonitor.js';
import type { Tunnel, TunnelClient } from './TunnelClient.js';
import type { DirectConnection } from './types.js';

/** An open connection to a worker. */
export type DialedConnection = DirectConnection | Tunnel;

type DialCallback = (error: Error | null, dialed: DialedConnection | undefined) => void;

/** Opens connections to workers: directly, or through another VM while this one has lost its links. */
export class WorkerDialer {
  /** Opens a direct connection. */
  connectDirectly = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  /** Checks whether a direct connection can be established. */
  isConnectable = isConnectable;

  /**
   * @param links - tells whether the links of this VM are lost
   * @param tunnels - opens connections through other VMs
   */
  constructor(
    readonly links: LinkMonitor,
    private readonly tunnels: TunnelClient,
  ) {}

  /** Whether new connections go through other VMs. */
  get usesTunnels(): boolean {
    return this.links.isLost;
  }

  /**
   * Opens a connection.
   *
   * @param address - `ip:port` of the worker
   * @param options - options of undici's connector
   * @param callback - receives the connection or the error
   */
  connect(address: string, options: buildConnector.Options, callback: DialCallback): void {
    if (this.usesTunnels) {
      this.#openTunnel(address, callback);
      return;
    }
    this.connectDirectly(options, (error, socket) => {
      if (error === null) callback(null, { path: ConnectionPath.Direct, socket });
      else this.#handleFailure(address, error, callback);
    });
  }

  /** The links may be lost: nothing has been sent, so the request can still go through another VM. */
  #handleFailure(address: string, error: Error, callback: DialCallback): void {
    void this.links.check(LinkSign.NotConnected).then(() => {
      if (this.usesTunnels) this.#openTunnel(address, callback);
      else callback(error, undefined);
    });
  }

  #openTunnel(address: string, callback: DialCallback): void {
    this.tunnels.open(address).then(
      (tunnel) => callback(null, tunnel),
      (error: unknown) => callback(toError(error), undefined),
    );
  }
}

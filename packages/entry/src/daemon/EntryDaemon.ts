import { setTimeout as sleep } from 'node:timers/promises';

import { createDispatchService } from '../grants/index.js';
import { listenOn } from './addresses.js';
import { createDaemonBase } from './daemonBase.js';
import { DispatchComponents } from './DispatchComponents.js';
import { FleetView } from './FleetView.js';
import { PeerServer } from './PeerServer.js';
import { ServingComponents } from './ServingComponents.js';

import type { Logger, Tracing } from '@sardinegrade/common';
import type { EntrySettings } from '../settings/index.js';
import type { DaemonBase } from './daemonBase.js';

const SHUTDOWN_POLL_INTERVAL_MS = 20;

/** Addresses on which a daemon listens, as `host:port`. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly administration: string;
  readonly peer: string;
}

/** The entry daemon of a VM: serves callers and administrators, runs dispatchers and takes part in the fleet. */
export class EntryDaemon {
  readonly logger: Logger;
  readonly tracing: Tracing;
  readonly #base: DaemonBase;
  readonly #fleet: FleetView;
  readonly #dispatch: DispatchComponents;
  readonly #serving: ServingComponents;
  readonly #peers: PeerServer;
  #isLeaving = false;

  constructor(settings: EntrySettings) {
    this.#base = createDaemonBase(settings);
    this.logger = this.#base.logger;
    this.tracing = this.#base.tracing;
    this.#fleet = new FleetView(this.#base);
    this.#dispatch = new DispatchComponents(this.#base, this.#fleet);
    this.#serving = new ServingComponents(this.#base, {
      fleet: this.#fleet,
      dispatch: this.#dispatch,
      isReady: this.isReady,
    });
    this.#peers = new PeerServer(
      this.#fleet.agent.handlers,
      createDispatchService(this.#dispatch.host, this.#base.clock),
    );
  }

  /**
   * Opens all ports, joins the fleet and starts serving.
   *
   * @returns the addresses on which the daemon listens
   * @throws Error if a port cannot be opened
   */
  readonly start = async (): Promise<DaemonAddresses> => {
    const { settings, credentials } = this.#base;
    const peer = await this.#peers.listen(settings.peer.listen, credentials.server);
    this.#dispatch.start();
    this.#fleet.agent.start(settings.peer.advertise ?? peer);
    this.#serving.plainServices.start();
    const callers = await listenOn(this.#serving.callers.server, settings.callers.listen);
    const administration = await listenOn(
      this.#serving.administration,
      settings.administration.listen,
    );
    return { callers, administration, peer };
  };

  /** Leaves the fleet so that other daemons dispatch instead, drains running requests and orders, and stops. */
  readonly shutDown = async (): Promise<void> => {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    const { callers, plainServices } = this.#serving;
    this.logger.info('Shutting down.', { count: callers.countOpen() });
    this.#dispatch.stopWatching();
    await this.#fleet.agent.leave();
    // The load balancer continues to send requests until its next check finds that this VM is not ready.
    await sleep(this.#base.settings.shutdown.settle_time);
    callers.server.close();
    while (callers.countOpen() > 0) await sleep(SHUTDOWN_POLL_INTERVAL_MS);
    await plainServices.drain();
    await this.#stop();
  };

  /** Whether the daemon accepts requests of callers. */
  readonly isReady = (): boolean => !this.#isLeaving && this.#fleet.isServing();

  readonly #stop = async (): Promise<void> => {
    this.#serving.stop();
    this.#fleet.agent.stop();
    this.#peers.stop();
    await this.#dispatch.stop();
    await this.tracing.stop();
  };
}

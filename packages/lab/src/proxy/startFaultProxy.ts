import { connect, createServer } from 'node:net';

import {
  createRouter,
  formatAddress,
  parseListenAddress,
  startHttpServer,
} from '../standins/http/index.js';
import { createControlRoutes } from './controlRoutes.js';
import { Link } from './Link.js';
import { Direction } from './types.js';

import type { SocketAddress } from '@sardinegrade/common';
import type { Socket } from 'node:net';
import type { StandIn } from '../standins/index.js';
import type { ProxyCounts, ProxyFaultChange, ProxyFaults } from './types.js';

/** Options of a fault proxy. */
export interface FaultProxyOptions {
  readonly listen?: string;
  /** `host:port` that connections are forwarded to; until it is set, connections are reset. */
  readonly target?: string;
  /** `host:port` of the control port; if absent, none is opened. */
  readonly control?: string;
}

/** A TCP proxy that injects faults into its connections. */
export interface FaultProxy extends StandIn {
  /** `host:port` that clients connect to instead of the target. */
  readonly hostPort: string;
  /** Address of the control port, if one is open. */
  readonly controlAddress: string | undefined;
  /** Sets the `host:port` that new connections are forwarded to. */
  readonly setTarget: (target: string) => void;
  readonly setFaults: (change: ProxyFaultChange) => void;
  /** Mutes the existing connections permanently. New connections work. */
  readonly pauseExisting: (directions?: readonly Direction[]) => void;
  /** Closes the existing connections. */
  readonly cut: () => void;
  /** Closes the existing connections with a TCP reset. */
  readonly reset: () => void;
  readonly getCounts: () => ProxyCounts;
}

const NO_FAULTS: ProxyFaults = {
  up: { isMuted: false, delayMs: 0, bytesPerSecond: Infinity },
  down: { isMuted: false, delayMs: 0, bytesPerSecond: Infinity },
  refusesNew: false,
};

const BOTH_DIRECTIONS: readonly Direction[] = [Direction.Up, Direction.Down];

/** Connections of a proxy and their current faults. */
class ProxyCore {
  private target: SocketAddress | undefined;
  private readonly links = new Set<Link>();
  private readonly bytes = { [Direction.Up]: 0, [Direction.Down]: 0 };
  private connections = 0;
  private faults = NO_FAULTS;

  readonly setTarget = (target: string): void => {
    this.target = parseListenAddress(target);
  };

  readonly accept = (client: Socket): void => {
    this.connections += 1;
    if (this.faults.refusesNew || this.target === undefined) {
      client.resetAndDestroy();
      return;
    }
    const target = connect({ ...this.target, allowHalfOpen: true });
    const link = new Link(client, target, {
      getFault: (direction) => this.faults[direction],
      onBytes: (direction, count) => (this.bytes[direction] += count),
      onClose: () => this.links.delete(link),
    });
    this.links.add(link);
  };

  readonly setFaults = (change: ProxyFaultChange): void => {
    this.faults = {
      up: { ...this.faults.up, ...change.up },
      down: { ...this.faults.down, ...change.down },
      refusesNew: change.refusesNew ?? this.faults.refusesNew,
    };
    for (const link of this.links) link.update();
  };

  readonly pauseExisting = (directions: readonly Direction[] = BOTH_DIRECTIONS): void => {
    for (const link of this.links) link.pausePermanently(directions);
  };

  readonly cut = (): void => {
    for (const link of [...this.links]) link.close();
  };

  readonly reset = (): void => {
    for (const link of [...this.links]) link.reset();
  };

  readonly getCounts = (): ProxyCounts => ({
    connections: this.connections,
    open: this.links.size,
    bytesUp: this.bytes[Direction.Up],
    bytesDown: this.bytes[Direction.Down],
  });
}

/**
 * Starts a TCP proxy that can delay, throttle, mute, close and reset connections.
 *
 * @param options - listen address, target and control port
 * @returns the proxy, once it is listening
 */
export const startFaultProxy = async (options: FaultProxyOptions): Promise<FaultProxy> => {
  const core = new ProxyCore();
  if (options.target !== undefined) core.setTarget(options.target);
  const server = createServer({ allowHalfOpen: true }, core.accept);
  const { host, port } = parseListenAddress(options.listen ?? '127.0.0.1:0');
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const control =
    options.control === undefined
      ? undefined
      : await startHttpServer(options.control, createRouter(createControlRoutes(core)));
  const stop = async (): Promise<void> => {
    await control?.stop();
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
      core.cut();
    });
  };
  const { setTarget, setFaults, pauseExisting, cut, reset, getCounts } = core;
  const hostPort = formatAddress(server.address());
  return {
    address: `http://${hostPort}`,
    hostPort,
    controlAddress: control?.address,
    stop,
    setTarget,
    setFaults,
    pauseExisting,
    cut,
    reset,
    getCounts,
  };
};

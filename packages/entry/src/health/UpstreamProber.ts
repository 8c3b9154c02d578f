import { connect } from 'node:net';

import { rankByRendezvous } from '@sardinegrade/common';

import { FAILED_PROBES_LIMIT, PROBE_INTERVAL_MS } from './constants.js';

import type {
  Configuration,
  DataCentreName,
  PoolName,
  UpstreamConfiguration,
  UpstreamId,
  VmId,
} from '@sardinegrade/common';

/** Settings and dependencies of an `UpstreamProber`. */
export interface UpstreamProberOptions {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly getConfiguration: () => Configuration | undefined;
  /** Lists the live daemons of this data centre, including this one. */
  readonly listLocalVms: () => readonly VmId[];
  /** Called after each failed probe once an upstream is considered down. */
  readonly onDown: (upstream: UpstreamId) => void;
}

const canConnect = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const { hostname, port, protocol } = new URL(address);
    const defaultPort = protocol === 'https:' ? 443 : 80;
    const socket = connect({
      host: hostname,
      port: port === '' ? defaultPort : Number(port),
      timeout: PROBE_INTERVAL_MS,
    });
    const settle = (isUp: boolean): void => {
      socket.destroy();
      resolve(isUp);
    };
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(false));
    socket.once('error', () => settle(false));
  });

/** @returns the pools of all services that other services depend on */
const listDependencyPools = (configuration: Configuration): ReadonlySet<PoolName> => {
  const pools = new Set<PoolName>();
  for (const service of configuration.services.values()) {
    for (const name of service.dependsOn) {
      const pool = configuration.services.get(name)?.pool;
      if (pool !== undefined) pools.add(pool);
    }
  }
  return pools;
};

/**
 * Probes the upstreams of services that other services depend on. Each upstream is probed by one daemon of its data
 * centre, chosen by rendezvous hashing, so that the number of probes does not grow with the number of daemons.
 */
export class UpstreamProber {
  readonly #options: UpstreamProberOptions;
  readonly #failures = new Map<UpstreamId, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: UpstreamProberOptions) {
    this.#options = options;
  }

  readonly start = (): void => {
    this.#timer ??= setInterval(this.#probeAll, PROBE_INTERVAL_MS);
  };

  readonly stop = (): void => clearInterval(this.#timer);

  readonly #probeAll = (): void => {
    const configuration = this.#options.getConfiguration();
    if (configuration === undefined) return;
    const vms = this.#options.listLocalVms();
    const pools = listDependencyPools(configuration);
    for (const upstream of configuration.upstreams.values()) {
      if (!pools.has(upstream.pool)) continue;
      if (upstream.dataCentre !== this.#options.dataCentre) continue;
      if (rankByRendezvous(upstream.id, vms)[0] === this.#options.vm) void this.#probe(upstream);
    }
  };

  readonly #probe = async ({ id, address }: UpstreamConfiguration): Promise<void> => {
    if (await canConnect(address)) {
      this.#failures.delete(id);
      return;
    }
    const failures = (this.#failures.get(id) ?? 0) + 1;
    this.#failures.set(id, failures);
    if (failures >= FAILED_PROBES_LIMIT) this.#options.onDown(id);
  };
}

import { rankByRendezvous, SYSTEM_CLOCK } from '@sardinegrade/common';
import { DispatchPolicy } from '@sardinegrade/dispatch';
import { ConfigurationStore } from '@sardinegrade/fleet';
import { createPlatformClient } from '@sardinegrade/platform';

import { startFaultProxy } from '../../proxy/index.js';
import { ProcessGroup } from '../ProcessGroup.js';
import { waitUntil } from '../waitUntil.js';
import { buildConfigurationText, CLUSTER_POOL } from './configurationText.js';
import { EngineProcess } from './EngineProcess.js';

import type { HttpPlatformClient } from '@sardinegrade/platform';
import type { FaultProxy } from '../../proxy/index.js';
import type { ManagedProcess } from '../ManagedProcess.js';
import type { IniSections } from '../formatIni.js';
import type { ClusterDataCentre, ClusterEngine, ClusterOptions, ClusterVm } from './types.js';

const DEFAULT_SHARD_SIZE = 8;

/** An entry daemon of a cluster. */
export interface EntryProcess {
  readonly vm: string;
  readonly dataCentre: string;
  readonly process: ManagedProcess;
  /** Base address for callers. */
  readonly callers: string;
  readonly peerProxy: FaultProxy | undefined;
}

const formatHostPort = (address: string): string => address.replace(/^http:\/\//, '');

/** Daemons, engines and the platform as real processes, with optional fault proxies between them. */
export class Cluster {
  readonly group = new ProcessGroup();
  readonly engines: EngineProcess[] = [];
  readonly entries: EntryProcess[] = [];
  /** Proxy between a data centre's daemons and the platform, by data centre. */
  readonly platformProxies = new Map<string, FaultProxy>();
  private readonly options: ClusterOptions;
  private readonly proxies: FaultProxy[] = [];
  private platformAddress = '';
  private platformClient: HttpPlatformClient | undefined;
  private seed: string | undefined;

  constructor(options: ClusterOptions) {
    this.options = options;
  }

  get platform(): { readonly address: string; readonly client: HttpPlatformClient } {
    if (this.platformClient === undefined) throw new Error('The cluster has not started.');
    return { address: this.platformAddress, client: this.platformClient };
  }

  /** Base addresses for callers of the daemons that are running. */
  get addresses(): readonly string[] {
    return this.entries.filter(({ process }) => process.isRunning).map(({ callers }) => callers);
  }

  async start(): Promise<void> {
    const platform = await this.group.start('lab', 'platform', ['platform']);
    this.platformAddress = platform.getAddress('address');
    this.platformClient = createPlatformClient({ address: this.platformAddress });
    for (const dataCentre of this.options.dataCentres) await this.startDataCentre(dataCentre);
    await this.applyConfiguration();
    for (const dataCentre of this.options.dataCentres) {
      for (const vm of dataCentre.vms) await this.startEntry(dataCentre.name, vm);
    }
    await Promise.all(this.entries.map((entry) => this.waitReady(entry)));
  }

  /** Starts another entry daemon. */
  async startEntry(dataCentre: string, vm: ClusterVm = {}): Promise<EntryProcess> {
    const name = `vm-${this.entries.length + 1}`;
    const peerProxy = vm.hasPeerProxy === true ? await this.openProxy() : undefined;
    const settings = this.buildSettings(name, dataCentre, peerProxy);
    const started = await this.group.startConfigured('entry', name, settings);
    const peer = formatHostPort(started.getAddress('peer'));
    peerProxy?.setTarget(peer);
    this.seed ??= peerProxy?.hostPort ?? peer;
    const callers = started.getAddress('callers');
    const entry = { vm: name, dataCentre, process: started, callers, peerProxy };
    this.entries.push(entry);
    return entry;
  }

  /** Waits until a daemon accepts callers' requests. */
  async waitReady(entry: EntryProcess): Promise<void> {
    await waitUntil(`${entry.vm} is ready`, async () => {
      if (!entry.process.isRunning) throw new Error(entry.process.stderr);
      return (await fetch(`${entry.callers}/readyz`)).status === 200;
    });
  }

  /** Finds the daemon that dispatches for a data centre's only shard, and the other daemons there. */
  findDispatcher(dataCentre: string): {
    readonly dispatcher: EntryProcess;
    readonly others: readonly EntryProcess[];
  } {
    const local = this.entries.filter((entry) => entry.dataCentre === dataCentre);
    const shard = `${CLUSTER_POOL}/${dataCentre}/0`;
    const [first] = rankByRendezvous(
      shard,
      local.map(({ vm }) => vm),
    );
    const dispatcher = local.find(({ vm }) => vm === first);
    if (dispatcher === undefined)
      throw new Error(`No daemon found in data centre '${dataCentre}'.`);
    return { dispatcher, others: local.filter((entry) => entry !== dispatcher) };
  }

  /** Stops all processes and proxies of the cluster. */
  async stop(): Promise<void> {
    await this.platformClient?.close();
    await this.group.stop();
    await Promise.all(this.proxies.map((proxy) => proxy.stop()));
  }

  private async startDataCentre(dataCentre: ClusterDataCentre): Promise<void> {
    if (this.options.hasPlatformProxies === true) {
      const proxy = await this.openProxy(formatHostPort(this.platformAddress));
      this.platformProxies.set(dataCentre.name, proxy);
    }
    await Promise.all(
      dataCentre.engines.map((engine, index) =>
        this.startEngine(engine, `${dataCentre.name}-engine-${index + 1}`, dataCentre.name),
      ),
    );
    this.engines.sort((a, b) => a.id.localeCompare(b.id, 'en', { numeric: true }));
  }

  private async startEngine(engine: ClusterEngine, id: string, dataCentre: string): Promise<void> {
    const started = new EngineProcess(this.group, id, dataCentre, engine);
    await started.start();
    if (engine.hasProxy === true) {
      started.proxy = await this.openProxy(formatHostPort(started.address));
    }
    this.engines.push(started);
  }

  private async applyConfiguration(): Promise<void> {
    const store = new ConfigurationStore({
      platform: this.platform.client,
      clock: SYSTEM_CLOCK,
      getHighestGeneration: () => 0,
    });
    const endpoints = this.engines.map((engine) => engine.endpoint);
    const text = buildConfigurationText(this.options, endpoints);
    await store.apply({ text, baseGeneration: 0, author: 'lab', changeId: 'lab-1' });
  }

  private buildSettings(
    vm: string,
    dataCentre: string,
    peerProxy: FaultProxy | undefined,
  ): IniSections {
    const proxy = this.platformProxies.get(dataCentre);
    return {
      vm: { id: vm, data_centre: dataCentre },
      callers: { listen: '127.0.0.1:0' },
      administration: { listen: '127.0.0.1:0' },
      peer: {
        listen: '127.0.0.1:0',
        advertise: peerProxy?.hostPort,
        seeds: this.seed === undefined ? [] : [this.seed],
      },
      platform: { address: proxy?.address ?? this.platformAddress },
      dispatch: {
        policy: this.options.policy ?? DispatchPolicy.Tiered,
        shard_size: this.options.shardSize ?? DEFAULT_SHARD_SIZE,
      },
    };
  }

  private async openProxy(target?: string): Promise<FaultProxy> {
    const proxy = await startFaultProxy(target === undefined ? {} : { target });
    this.proxies.push(proxy);
    return proxy;
  }
}

/**
 * Starts a cluster and waits until all its daemons accept requests.
 *
 * @param options - data centres, classes and workspaces of the cluster
 * @returns the cluster, which the caller has to stop
 */
export const startCluster = async (options: ClusterOptions): Promise<Cluster> => {
  const cluster = new Cluster(options);
  try {
    await cluster.start();
    return cluster;
  } catch (error) {
    const details = cluster.group.describe();
    await cluster.stop();
    throw new Error(`The cluster failed to start. Standard error of its processes:\n${details}`, {
      cause: error,
    });
  }
};

import { EngineClient } from '@sardinegrade/upstream';

import { DispatchHost, GrantBroker, PeerSession } from '../grants/index.js';
import { DependencyCheck, UpstreamProber, VmListWatcher } from '../health/index.js';
import { FleetHealth, toDispatchEvent } from './FleetHealth.js';

import type { DaemonBase } from './daemonBase.js';
import type { FleetView } from './FleetView.js';

/** Creates and connects the components that assign requests to upstreams and monitor the upstreams. */
export class DispatchComponents {
  readonly engines: EngineClient;
  readonly host: DispatchHost;
  readonly broker: GrantBroker;
  readonly fleetHealth: FleetHealth;
  readonly dependencies: DependencyCheck;
  readonly #base: DaemonBase;
  readonly #fleet: FleetView;
  readonly #prober: UpstreamProber;
  readonly #vmList: VmListWatcher;

  constructor(base: DaemonBase, fleet: FleetView) {
    this.#base = base;
    this.#fleet = fleet;
    this.engines = new EngineClient(base.clock);
    this.host = this.#createHost();
    this.broker = this.#createBroker();
    this.fleetHealth = new FleetHealth(fleet.agent, this.host, base.clock);
    this.dependencies = new DependencyCheck(this.fleetHealth.downUpstreams, base.clock);
    const watcherOptions = {
      ...base,
      getConfiguration: fleet.agent.getConfiguration,
      listLocalVms: fleet.listLocalVms,
    };
    this.#prober = new UpstreamProber({ ...watcherOptions, onDown: this.fleetHealth.publishDown });
    this.#vmList = new VmListWatcher({
      ...watcherOptions,
      onLeaving: this.fleetHealth.publishLeaving,
    });
  }

  /** Subscribes to configuration and membership changes, and starts monitoring upstreams. */
  readonly start = (): void => {
    const { agent, listDispatchMembers } = this.#fleet;
    void agent.configurations.observe((configuration) => {
      this.broker.applyConfiguration(configuration);
      const { generation } = configuration;
      this.#base.logger.info('A configuration came into force.', { generation });
    });
    void agent.memberChanges.observe(() => this.broker.updateMembers(listDispatchMembers()));
    this.broker.updateMembers(listDispatchMembers());
    this.#prober.start();
    this.#vmList.start();
  };

  /** Stops monitoring upstreams; running requests continue. */
  readonly stopWatching = (): void => {
    this.#prober.stop();
    this.#vmList.stop();
  };

  /** Closes all connections. */
  readonly stop = async (): Promise<void> => {
    this.broker.close();
    this.host.stop();
    await this.engines.close();
  };

  readonly #createHost = (): DispatchHost =>
    new DispatchHost({
      ...this.#base,
      policy: this.#base.settings.dispatch.policy,
      engines: this.engines,
      onQuarantine: (fingerprint, untilMs) =>
        this.fleetHealth.publishQuarantine(fingerprint, untilMs),
      listKnownEvents: () =>
        this.#fleet.agent.getNews().flatMap((news) => toDispatchEvent(news) ?? []),
      onProbe: (upstream, isHealthy) => {
        if (!isHealthy)
          this.#base.logger.warn('Upstream did not respond to a probe.', { upstream });
      },
    });

  readonly #createBroker = (): GrantBroker => {
    const { vm, settings, credentials, clock } = this.#base;
    return new GrantBroker({
      ...this.#base,
      shardSize: settings.dispatch.shard_size,
      host: this.host,
      openSession: (member, listener) =>
        new PeerSession(member, vm, credentials.channel, clock, listener),
    });
  };
}

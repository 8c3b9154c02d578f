import { EngineClient } from '@sardinegrade/upstream';

import { DispatchHost, GrantBroker, PeerSession } from '../grants/index.js';
import { DependencyCheck, UpstreamProber, VmListWatcher } from '../health/index.js';
import { FleetFacts, toDispatchEvent } from './FleetFacts.js';

import type { DaemonBase } from './daemonBase.js';
import type { FleetView } from './FleetView.js';

/** The parts that decide where requests run, and what they know of upstreams. */
export class DispatchParts {
  readonly engines: EngineClient;
  readonly host: DispatchHost;
  readonly broker: GrantBroker;
  readonly facts: FleetFacts;
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
    this.facts = new FleetFacts(fleet.agent, this.host, base.clock);
    this.dependencies = new DependencyCheck(this.facts.downUpstreams, base.clock);
    const watching = {
      ...base,
      getConfiguration: fleet.agent.getConfiguration,
      listLocalVms: fleet.listLocalVms,
    };
    this.#prober = new UpstreamProber({ ...watching, onDown: this.facts.spreadDown });
    this.#vmList = new VmListWatcher({ ...watching, onLeaving: this.facts.spreadLeaving });
  }

  /** Follows configurations and members, and begins to watch upstreams. */
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

  /** Watches upstreams no more; running requests go on. */
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
      onQuarantine: (fingerprint, untilMs) => this.facts.spreadQuarantine(fingerprint, untilMs),
      listKnownEvents: () =>
        this.#fleet.agent.getNews().flatMap((news) => toDispatchEvent(news) ?? []),
      onProbe: (upstream, isHealthy) => {
        if (!isHealthy) this.#base.logger.warn('An upstream did not answer a probe.', { upstream });
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

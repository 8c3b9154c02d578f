import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';

import { createLogger, createMetrics, startTracing, SYSTEM_CLOCK } from '@sardinegrade/common';
import {
  createFleetAgent,
  DrainScope,
  MemberState,
  ReloadingCertificate,
} from '@sardinegrade/fleet';
import { createPeerCredentials } from '@sardinegrade/peer';
import { createPlatformClient } from '@sardinegrade/platform';
import { EngineClient } from '@sardinegrade/upstream';

import {
  createAdministrationContext,
  createAdministrationHandler,
  createRequestJournal,
} from '../administration/index.js';
import { CallerServer } from '../callers/index.js';
import { createDispatchService, DispatchHost, GrantBroker, PeerSession } from '../grants/index.js';
import { DependencyCheck, UpstreamProber, VmListWatcher } from '../health/index.js';
import { createModelRoutes, RetryBudgets } from '../models/index.js';
import { observePlatform, registerGauges } from '../observation/index.js';
import { listenOn } from './addresses.js';
import { FleetFacts, toDispatchEvent } from './FleetFacts.js';
import { OrderDesk } from './OrderDesk.js';
import { createOpenPaths } from './openPaths.js';
import { PeerServer } from './PeerServer.js';

import type { Server } from 'node:http';

import type {
  AttemptId,
  Clock,
  DataCentreName,
  Logger,
  Metrics,
  ServiceConfiguration,
  Tracing,
  VmId,
} from '@sardinegrade/common';
import type { FleetAgent } from '@sardinegrade/fleet';
import type { PeerCredentials, PeerTlsFiles } from '@sardinegrade/peer';
import type { PlatformClient } from '@sardinegrade/platform';
import type { CallerRequest, CallerRoute } from '../callers/index.js';
import type { DispatchMember } from '../grants/index.js';
import type { EntrySettings } from '../settings/index.js';

const SHUTDOWN_POLL_MS = 20;

/** Where a daemon listens. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly administration: string;
  readonly peer: string;
}

/** The entry daemon: all parts of one VM's share in the system, wired together. */
export class EntryDaemon {
  readonly logger: Logger;
  readonly tracing: Tracing;
  readonly #settings: EntrySettings;
  readonly #vm: VmId;
  readonly #dataCentre: DataCentreName;
  readonly #clock: Clock = SYSTEM_CLOCK;
  readonly #metrics: Metrics = createMetrics();
  readonly #journal = createRequestJournal(SYSTEM_CLOCK);
  readonly #platform: PlatformClient;
  readonly #credentials: PeerCredentials;
  readonly #certificate: ReloadingCertificate | undefined;
  readonly #fleet: FleetAgent;
  readonly #engines = new EngineClient(SYSTEM_CLOCK);
  readonly #host: DispatchHost;
  readonly #broker: GrantBroker;
  readonly #facts: FleetFacts;
  readonly #dependencies: DependencyCheck;
  readonly #prober: UpstreamProber;
  readonly #vmList: VmListWatcher;
  readonly #desk: OrderDesk;
  readonly #callers: CallerServer;
  readonly #peers: PeerServer;
  readonly #administration: Server;
  #isLeaving = false;

  constructor(settings: EntrySettings) {
    this.#settings = settings;
    this.#vm = settings.vm.id as VmId;
    this.#dataCentre = settings.vm.data_centre as DataCentreName;
    this.logger = createLogger({ ...settings.log, fields: { vm: this.#vm } });
    this.tracing = startTracing({
      vm: this.#vm,
      dataCentre: this.#dataCentre,
      otlpAddress: settings.traces.otlp_address,
      onExportError: (error) => this.logger.warn('Traces were not exported.', { error }),
    });
    this.#platform = observePlatform(createPlatformClient({ address: settings.platform.address }), {
      metrics: this.#metrics,
      tracing: this.tracing,
    });
    this.#credentials = createPeerCredentials(getPeerTls(settings));
    this.#certificate = this.#createCertificate();
    this.#fleet = this.#createFleet();
    this.#host = this.#createHost();
    this.#broker = this.#createBroker();
    this.#facts = new FleetFacts(this.#fleet, this.#host, this.#clock);
    this.#dependencies = new DependencyCheck(this.#facts.downUpstreams, this.#clock);
    this.#prober = this.#createProber();
    this.#vmList = this.#createVmList();
    this.#desk = this.#createDesk();
    this.#callers = this.#createCallers();
    this.#peers = new PeerServer(
      this.#fleet.handlers,
      createDispatchService(this.#host, this.#clock),
    );
    this.#administration = this.#createAdministration();
  }

  /**
   * Opens all ports, joins the fleet and begins to serve.
   *
   * @returns where the daemon listens
   * @throws Error where a port cannot be opened
   */
  readonly start = async (): Promise<DaemonAddresses> => {
    const { peer, callers } = this.#settings;
    this.#followFleet();
    const peerAddress = await this.#peers.listen(peer.listen, this.#credentials.server);
    this.#fleet.start(peer.advertise ?? peerAddress);
    this.#prober.start();
    this.#vmList.start();
    this.#desk.start();
    const callersAddress = await listenOn(this.#callers.server, callers.listen);
    const administration = await listenOn(
      this.#administration,
      this.#settings.administration.listen,
    );
    return { callers: callersAddress, administration, peer: peerAddress };
  };

  /** Takes no new work, hands dispatch on, finishes all in progress, and stops. */
  readonly shutDown = async (): Promise<void> => {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.logger.info('Shutting down.', { count: this.#callers.countOpen() });
    this.#prober.stop();
    this.#vmList.stop();
    await this.#fleet.leave();
    // The balancer goes on sending requests until it has seen that this VM is not ready.
    await sleepMs(this.#settings.shutdown.settle_time);
    this.#callers.server.close();
    this.#callers.server.closeIdleConnections();
    while (this.#callers.countOpen() > 0) await sleepMs(SHUTDOWN_POLL_MS);
    await this.#desk.drain();
    await this.#stop();
  };

  /** Whether the daemon takes callers' requests. */
  readonly isReady = (): boolean => {
    const configuration = this.#fleet.getConfiguration();
    if (configuration === undefined || this.#isLeaving) return false;
    return !configuration.drains.some(
      ({ scope, name }) =>
        (scope === DrainScope.Vm && name === this.#vm) ||
        (scope === DrainScope.DataCentre && name === this.#dataCentre),
    );
  };

  readonly #stop = async (): Promise<void> => {
    this.#broker.close();
    this.#host.stop();
    this.#fleet.stop();
    this.#peers.stop();
    this.#callers.server.closeAllConnections();
    this.#certificate?.stop();
    this.#administration.close();
    this.#administration.closeAllConnections();
    await this.#engines.close();
    await this.tracing.stop();
  };

  readonly #createCertificate = (): ReloadingCertificate | undefined => {
    const { tls_certificate: certificate, tls_key: key } = this.#settings.callers;
    if (certificate === undefined || key === undefined) return undefined;
    return new ReloadingCertificate({ certificate, key }, (error) =>
      this.logger.error('The certificate for callers cannot be replaced.', { error }),
    );
  };

  readonly #createFleet = (): FleetAgent =>
    createFleetAgent({
      settings: {
        vm: this.#vm,
        dataCentre: this.#dataCentre,
        seeds: this.#settings.peer.seeds,
      },
      platform: this.#platform,
      clock: this.#clock,
      random: Math.random,
      credentials: this.#credentials,
    });

  readonly #createHost = (): DispatchHost =>
    new DispatchHost({
      policy: this.#settings.dispatch.policy,
      clock: this.#clock,
      random: Math.random,
      engines: this.#engines,
      tracing: this.tracing,
      onQuarantine: (fingerprint, untilMs) => this.#facts.spreadQuarantine(fingerprint, untilMs),
      listKnownFacts: () => this.#fleet.getNews().flatMap((news) => toDispatchEvent(news) ?? []),
      onProbe: (upstream, isHealthy) => {
        if (!isHealthy) this.logger.warn('An upstream did not answer a probe.', { upstream });
      },
    });

  readonly #createBroker = (): GrantBroker =>
    new GrantBroker({
      vm: this.#vm,
      dataCentre: this.#dataCentre,
      shardSize: this.#settings.dispatch.shard_size,
      clock: this.#clock,
      random: Math.random,
      host: this.#host,
      openSession: (member, listener) =>
        new PeerSession(member, this.#vm, this.#credentials.channel, this.#clock, listener),
    });

  readonly #createProber = (): UpstreamProber =>
    new UpstreamProber({
      vm: this.#vm,
      dataCentre: this.#dataCentre,
      getConfiguration: this.#fleet.getConfiguration,
      listLocalVms: this.#listLocalVms,
      onDown: (upstream) => this.#facts.spreadDown(upstream),
    });

  readonly #createVmList = (): VmListWatcher =>
    new VmListWatcher({
      vm: this.#vm,
      dataCentre: this.#dataCentre,
      clock: this.#clock,
      platform: this.#platform,
      getConfiguration: this.#fleet.getConfiguration,
      listLocalVms: this.#listLocalVms,
      onLeaving: (upstream) => this.#facts.spreadLeaving(upstream),
    });

  readonly #listLocalVms = (): readonly VmId[] =>
    this.#listDispatchMembers()
      .filter(({ dataCentre }) => dataCentre === this.#dataCentre)
      .map(({ vm }) => vm);

  readonly #createCallers = (): CallerServer =>
    new CallerServer({
      clock: this.#clock,
      tracing: this.tracing,
      logger: this.logger,
      metrics: this.#metrics,
      journal: this.#journal,
      routes: [...this.#createModelRoutes(), ...this.#desk.routes],
      serveOpenPath: createOpenPaths({ isReady: this.isReady }),
      getConfiguration: this.#fleet.getConfiguration,
      certificate: this.#certificate,
    });

  readonly #createModelRoutes = (): readonly CallerRoute[] =>
    createModelRoutes({
      clock: this.#clock,
      broker: this.#broker,
      engines: this.#engines,
      tracing: this.tracing,
      metrics: this.#metrics,
      retries: new RetryBudgets(this.#clock),
      random: Math.random,
      bodyLimitBytes: this.#settings.callers.body_limit,
      checkDependencies: this.#checkDependencies,
      isSuspect: (fingerprint) => this.#facts.isSuspect(fingerprint),
      onUpstreamDied: (_upstream, fingerprint) => this.#facts.spreadSuspect(fingerprint),
      createAttemptId: () => randomUUID() as AttemptId,
    });

  readonly #createDesk = (): OrderDesk =>
    new OrderDesk({
      vm: this.#vm,
      clock: this.#clock,
      logger: this.logger,
      metrics: this.#metrics,
      tracing: this.tracing,
      platform: this.#platform,
      bodyLimitBytes: this.#settings.callers.body_limit,
      writesPerSecond: this.#settings.orders.writes_per_second,
      getConfiguration: this.#fleet.getConfiguration,
      isUpstreamDown: (upstream) => this.#facts.isDown(upstream),
      isVmGone: this.#facts.isVmGone,
      listNeighbours: this.#listNeighbours,
      checkDependencies: this.#checkDependencies,
    });

  readonly #createAdministration = (): Server => {
    const context = createAdministrationContext({
      vm: this.#vm,
      dataCentre: this.#dataCentre,
      clock: this.#clock,
      logger: this.logger,
      administrators: this.#settings.administrator,
      fleet: this.#fleet,
      orders: this.#desk.orders,
      metrics: this.#metrics,
      traces: this.tracing.recent,
      journal: this.#journal,
      describeDispatchers: () => this.#host.describe().values(),
      isUpstreamDown: this.#facts.isDown,
      isReady: this.isReady,
    });
    registerGauges(this.#metrics, context);
    return createServer(createAdministrationHandler(context));
  };

  readonly #checkDependencies = (caller: CallerRequest, service: ServiceConfiguration): void =>
    this.#dependencies.requireDependencies(caller.configuration, service);

  readonly #followFleet = (): void => {
    void this.#fleet.configurations.observe((configuration) => {
      this.#broker.applyConfiguration(configuration);
      const { generation } = configuration;
      this.logger.info('A configuration came into force.', { generation });
    });
    void this.#fleet.memberChanges.observe(() =>
      this.#broker.updateMembers(this.#listDispatchMembers()),
    );
    this.#broker.updateMembers(this.#listDispatchMembers());
  };

  /** Lists the daemons of this data centre, this one among them. */
  readonly #listNeighbours = (): readonly VmId[] =>
    this.#listDispatchMembers()
      .filter(({ dataCentre }) => dataCentre === this.#dataCentre)
      .map(({ vm }) => vm);

  /** Lists the daemons that can be dispatchers; one that leaves hands its part on. */
  readonly #listDispatchMembers = (): readonly DispatchMember[] =>
    this.#fleet
      .getMembers()
      .filter(({ state }) => state === MemberState.Alive || state === MemberState.Suspect)
      .map(({ vm, dataCentre, address }) => ({ vm, dataCentre, address }));
}

const getPeerTls = ({ peer }: EntrySettings): PeerTlsFiles | undefined => {
  const { tls_certificate: certificate, tls_key: key, tls_authority: authority } = peer;
  if (certificate === undefined || key === undefined || authority === undefined) return undefined;
  return { certificate, key, authority };
};

const sleepMs = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

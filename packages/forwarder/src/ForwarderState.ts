import { createMetrics, MetricName } from '@sardinegrade/common';
import { createLimitReporter, deriveClientLimits, Ingress } from '@sardinegrade/ingress';
import {
  BuildHistory,
  CrashTracker,
  DataCentreMonitor,
  LaneTable,
  PeerRole,
  RouteHistory,
  RouteTable,
  SharedLoadView,
  SharedRetryBudget,
  StreamOrigins,
  StreamPace,
  isPlainLoadShared,
} from '@sardinegrade/routing';

import { WorkerLimits } from './limits/index.js';
import { LinkMonitor, LinkSign, TunnelClient, WorkerDialer } from './links/index.js';
import { WorkerNotices } from './notices/index.js';
import { isPortClosed, PartQuarantine } from './quarantine/index.js';
import { RequestQueue } from './waiting/index.js';
import { toInstanceId, WorkerFleet, WorkerPaces } from './workers/index.js';

import type {
  BuildName,
  DataCentreName,
  Logger,
  RequestId,
  ServiceName,
  SocketAddress,
  UpstreamId,
  WorkspaceName,
} from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type { ProcessLimits } from '@sardinegrade/ingress';
import type {
  Crash,
  EngineLoads,
  PromptPart,
  Route,
  RoutingConfiguration,
  SharedRetryLimits,
  StoreVersions,
  Worker,
} from '@sardinegrade/routing';
import type { CallerRequest, ForwardProtocol } from './types.js';
import type { WorkerRecord } from './workers/index.js';

/** Dependencies and settings of the forwarder. */
export interface ForwarderOptions {
  readonly protocol: ForwardProtocol;
  /** Data centre of this VM. */
  readonly dataCentre: DataCentreName;
  readonly retries: SharedRetryLimits;
  readonly logger: Logger;
  readonly random: RandomSource;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
  /** Memory and descriptors of this process, as far as they are known. */
  readonly processLimits?: ProcessLimits;
}

/** Kinds of objects that are synchronized with the platform's store. */
export enum SyncedKind {
  Configuration = 'configuration',
  Workers = 'workers',
}

/** What told that a request has begun to run. */
export enum RunSign {
  /** The first event of its stream. */
  FirstEvent = 'first_event',
  /** The complete answer of a plain service, or one that is not a stream. */
  PlainAnswer = 'plain_answer',
}

/** Allowance for VMs that were added but are not listed yet, as a share of the listed ones. */
const VM_GROWTH_SHARE = 0.25;

/**
 * How long a draining process accepts requests, in milliseconds: the host platform's operators excuse an answer that the
 * exit cuts only if its request was sent within three seconds.
 */
const ACCEPT_WHILE_DRAINING_MS = 2_900;

const MS_PER_SECOND = 1_000;

/** State of the forwarder: active configuration, known workers, load of other VMs, queue and retry budgets. */
export class ForwarderState {
  /** Tells whether this VM has lost its links to all workers. */
  readonly links: LinkMonitor;
  /** Opens connections to workers through other VMs. */
  readonly tunnels: TunnelClient;
  readonly dialer: WorkerDialer;
  readonly fleet: WorkerFleet;
  /** Load that other VMs put on the engines. */
  readonly sharedLoad = new SharedLoadView();
  /** Detects unreachable data centres. */
  readonly dataCentres = new DataCentreMonitor();
  /** Requests that wait for engines. */
  readonly queue: RequestQueue;
  /** Estimates how long streams currently take. */
  readonly pace = new StreamPace();
  /** Learned paces of the workers. */
  readonly paces: WorkerPaces;
  readonly metrics = createMetrics();
  /** What callers make this VM hold: connections, requests, bodies and answers. */
  readonly ingress: Ingress;
  /** Detects requests that crash workers. */
  readonly crashes = new CrashTracker();
  /** Refuses requests with prompt parts that crash workers. */
  readonly partQuarantine: PartQuarantine;
  /** Where streams began that callers may resume. */
  readonly streamOrigins = new StreamOrigins();
  /** Limits that workers name in their answers. */
  readonly workerLimits: WorkerLimits;
  /** What workers state about themselves in their answers. */
  readonly workerNotices: WorkerNotices;
  /** Returns whether all VMs can find out which streams of a service have begun at a build. */
  isBuildRecorded: (service: ServiceName, build: BuildName) => boolean = () => true;
  /**
   * Returns whether all VMs take into account that streams of a service may have begun at a build; also true while no build
   * of the service is known to be recorded.
   */
  isBuildCounted: (service: ServiceName, build: BuildName) => boolean = () => true;
  /**
   * Fetches the builds of a service at which a stream that can still be resumed may have begun, at any VM; undefined if they
   * are not known.
   */
  fetchBuilds: (service: ServiceName) => Promise<readonly BuildName[] | undefined> = (service) =>
    Promise.resolve(this.listBuilds(service));
  /**
   * Lists the builds at which a new stream may begin that callers may resume: one or none; undefined if it may begin at any
   * recorded build.
   */
  listStreamBuilds: (
    service: ServiceName,
    request: RequestId | undefined,
  ) => readonly BuildName[] | undefined = () => undefined;
  /** Computes at which build a stream of any VM has begun; undefined if it is not certain. */
  fetchStreamBuild: (service: ServiceName, request: RequestId) => Promise<BuildName | undefined> =
    () => Promise.resolve(undefined);
  /** Called with crashes that this VM has detected. */
  onCrashes: (crashes: readonly Crash[]) => void = () => undefined;
  /** Called when a prompt is sent to an engine that has not cached all of its shared parts. */
  onPlacement: (upstream: UpstreamId, parts: readonly PromptPart[]) => void = () => undefined;
  /** Called once for each request of a workspace that has begun to run, however often it is sent. */
  onRunBegun: (workspace: WorkspaceName, sign: RunSign) => void = () => undefined;
  /** Returns the number of times that the store has been restored from an older copy, as far as this VM knows. */
  getStoreEra: () => number = () => 0;
  /** Returns the versions of the newest changes in the store that this VM has applied; peers receive them. */
  getStoreVersions: () => StoreVersions = () => ({
    era: 0,
    configuration: 0,
    workers: 0,
    activeGeneration: 0,
    answerAgeMs: undefined,
    failureAgeMs: undefined,
    workerWatch: undefined,
  });
  /** Returns what this VM does for the others and they for it in the exchange of load messages. */
  getPeerRole: () => PeerRole = () => PeerRole.Direct;
  /** Called with the versions that another VM has applied, and the address of its peer port. */
  onPeerVersions: (versions: StoreVersions, peer: SocketAddress) => void = () => undefined;
  /** When a list or watch of the store has last failed, in milliseconds; undefined if none has. */
  storeFailedAtMs: number | undefined;
  #configuration: RoutingConfiguration | undefined;
  #configurationAppliedAtMs = 0;
  /** When the store last answered a call, by kind; kinds without an answer so far are missing. */
  readonly #storeAnsweredAtMs = new Map<SyncedKind, number>();
  #routes = new RouteTable([]);
  #lanes = new LaneTable([]);
  #exitAtMs = Number.POSITIVE_INFINITY;
  #drainingSinceMs: number | undefined;
  /** Number of VMs, this one included; undefined until the first list. */
  #listedVmCount: number | undefined;
  readonly #builds = new BuildHistory();
  readonly #routeHistory = new RouteHistory();
  readonly #budgets = new Map<ServiceName, SharedRetryBudget>();

  /** @param options - dependencies and settings */
  constructor(readonly options: ForwarderOptions) {
    const { logger, getNowMs, random } = options;
    const { metrics } = this;
    const onLimit = createLimitReporter({ logger, metrics, getNowMs });
    this.ingress = new Ingress(deriveClientLimits(options.processLimits ?? {}), onLimit);
    const getPeerRuns = (hash: number): number => this.sharedLoad.getLoad(hash).runs;
    this.tunnels = new TunnelClient({
      ...options,
      onOutcome: (outcome) => this.metrics.addCount(MetricName.Tunnels, { outcome }),
    });
    this.links = new LinkMonitor({
      ...options,
      isConnectable: (address) => this.dialer.isConnectable(address),
      listWorkers: () => this.fleet.directory.listAll(),
      onLost: () => this.fleet.resetLinks(),
    });
    this.dialer = new WorkerDialer(this.links, this.tunnels);
    this.fleet = new WorkerFleet(this.dialer);
    const listWorkers = (): readonly Worker[] => this.fleet.directory.listAll();
    this.paces = new WorkerPaces({ logger, getNowMs, listWorkers });
    this.queue = new RequestQueue(getNowMs);
    this.workerLimits = new WorkerLimits({ logger, getNowMs, random, getPeerRuns });
    this.workerNotices = new WorkerNotices({ logger, getNowMs, fleet: this.fleet });
    this.partQuarantine = new PartQuarantine({
      logger,
      getNowMs,
      isPortClosed: (address) => this.#hasEnded(address),
      isInService: (worker) => this.#isInService(worker),
    });
    this.#registerGauges();
  }

  /** Finds the workspace whose key a request names; undefined if there is none. */
  findWorkspace({ key }: Pick<CallerRequest, 'key'>): WorkspaceName | undefined {
    return key === undefined ? undefined : this.#configuration?.keyHolders?.get(key)?.workspace;
  }

  /** The active configuration; undefined until the first one has been applied. */
  get configuration(): RoutingConfiguration | undefined {
    return this.#configuration;
  }

  /** Time since the active configuration was applied, in milliseconds; undefined if there is none. */
  get configurationAgeMs(): number | undefined {
    if (this.#configuration === undefined) return undefined;
    return this.options.getNowMs() - this.#configurationAppliedAtMs;
  }

  /** Routes of the active configuration; empty until the first one has been applied. */
  get routes(): RouteTable {
    return this.#routes;
  }

  /** Lanes of prompts by the routes of the active configuration. */
  get lanes(): LaneTable {
    return this.#lanes;
  }

  /** Whether the process is shutting down: it still serves requests, but asks callers to close their connections. */
  get isDraining(): boolean {
    return this.#drainingSinceMs !== undefined;
  }

  /** Whether the process has been draining for so long that a new request may not be complete when it exits. */
  get isDrainingTooLong(): boolean {
    if (this.#drainingSinceMs === undefined) return false;
    return this.options.getNowMs() - this.#drainingSinceMs >= ACCEPT_WHILE_DRAINING_MS;
  }

  /** Time until the process exits, in milliseconds; infinite while it is not draining. */
  get untilExitMs(): number {
    return this.#exitAtMs - this.options.getNowMs();
  }

  /**
   * Starts draining: callers are asked to close their connections.
   *
   * @param nowMs - current time, in milliseconds
   * @param exitAtMs - when the process exits at the latest, in milliseconds
   */
  startDraining(nowMs = this.options.getNowMs(), exitAtMs = Number.POSITIVE_INFINITY): void {
    this.#drainingSinceMs = nowMs;
    this.#exitAtMs = exitAtMs;
  }

  /**
   * Applies a configuration unless the active one has the same or a newer version.
   *
   * @param configuration - the decoded configuration
   * @returns whether it was applied
   */
  apply(configuration: RoutingConfiguration): boolean {
    if (this.#configuration !== undefined && configuration.version <= this.#configuration.version) {
      return false;
    }
    this.#configuration = configuration;
    this.#configurationAppliedAtMs = this.options.getNowMs();
    this.#routes = new RouteTable(configuration.routes);
    this.#lanes = new LaneTable(configuration.routes);
    this.#routeHistory.replace(configuration.routes, this.options.getNowMs());
    return true;
  }

  /** Records when the store answered a list or watch of a kind. */
  recordStoreAnswer(kind: SyncedKind, atMs: number): void {
    this.#storeAnsweredAtMs.set(kind, atMs);
  }

  /** @returns time since the store last answered a list or watch of the kind, in milliseconds */
  getStoreAnswerAgeMs(kind: SyncedKind): number | undefined {
    const answeredAtMs = this.#storeAnsweredAtMs.get(kind);
    return answeredAtMs === undefined ? undefined : this.options.getNowMs() - answeredAtMs;
  }

  /**
   * Records that a worker's process has ended or was restarted. Requests that were interrupted on it shortly before are
   * suspected of having crashed it.
   */
  recordInstanceEnd(worker: Worker): void {
    this.partQuarantine.recordInstanceEnd(worker);
    const crashes = this.crashes.recordInstanceEnd(toInstanceId(worker), this.options.getNowMs());
    if (crashes.length === 0) return;
    this.options.logger.warn('worker crashed while running requests', {
      upstream: worker.id,
      count: crashes.length,
      inputs: { fingerprints: crashes.map(({ fingerprint }) => fingerprint).join(' ') },
    });
    this.onCrashes(crashes);
  }

  /** Lists the services at which a stream of a route that can still be resumed may have begun. */
  listServices(route: Route): readonly ServiceName[] {
    return this.#routeHistory.listServices(route, this.options.getNowMs());
  }

  /** Lists the services that share a route with others: the route of a stream does not tell where it began. */
  listMixedServices(): ReadonlySet<ServiceName> {
    return this.#routeHistory.listMixed(this.options.getNowMs());
  }

  /** Lists the builds of a service at which a stream that can still be resumed may have begun. */
  listBuilds(service: ServiceName): readonly BuildName[] {
    this.#recordBuilds();
    return this.#builds.list(service, this.options.getNowMs());
  }

  /** Records that streams of a build may begin. */
  recordBuild(service: ServiceName, build: BuildName): void {
    this.#builds.record(service, build, this.options.getNowMs());
  }

  /**
   * @returns whether this VM has known of a build, but of no worker of it for the lifetime of a stream before the store last
   *   answered about workers: the time after that tells nothing
   */
  hasBuildLeft(service: ServiceName, build: BuildName): boolean {
    this.#recordBuilds();
    const answeredAtMs = this.#storeAnsweredAtMs.get(SyncedKind.Workers);
    return answeredAtMs !== undefined && this.#builds.hasLeft(service, build, answeredAtMs);
  }

  /** @returns whether a worker at this address may receive requests of other VMs through this one */
  isUsableAddress(address: string): boolean {
    const workers = this.fleet.directory.listAll();
    return workers.some(
      (worker) =>
        worker.address === address && !worker.isLeaving && !this.workerNotices.isLeaving(worker),
    );
  }

  /** @returns whether other VMs need this VM's load on a worker: it is brittle, or one of few of a plain service */
  isLoadNeeded(record: WorkerRecord): boolean {
    if (this.workerLimits.brittle.has(record)) return true;
    const { service } = record.worker;
    if (this.#configuration?.services.get(service)?.engine !== undefined) return false;
    const nowMs = this.options.getNowMs();
    const { length } = this.fleet.directory.listUsable(service, nowMs);
    return isPlainLoadShared(length, this.sharedLoad.countLive(nowMs) + 1);
  }

  /**
   * Lists the load that this VM puts on engines.
   *
   * @param isNeeded - returns whether the load of a worker of a plain service is listed, too
   * @returns the load by the hash of the worker's id
   */
  listOwnLoads(isNeeded: (record: WorkerRecord) => boolean): EngineLoads {
    const getSpeed = (record: WorkerRecord): number => this.paces.get(record).speed;
    return this.fleet.listLoads(this.options.getNowMs(), isNeeded, getSpeed);
  }

  /** Removes what has expired; called every second. */
  sweep(): void {
    const nowMs = this.options.getNowMs();
    this.fleet.sweep(nowMs);
    this.ingress.connections.sweep();
    this.streamOrigins.sweep(nowMs);
    this.paces.update();
    this.#recordBuilds();
  }

  #recordBuilds(): void {
    const nowMs = this.options.getNowMs();
    for (const { service, build } of this.fleet.directory.listAll())
      this.#builds.record(service, build, nowMs);
  }

  /** Updates the number of listed VMs, which share the retry budgets. */
  setVmCount(count: number): void {
    this.#listedVmCount = count;
  }

  /** Number of listed VMs, this one included; undefined until the first list. */
  get listedVmCount(): number | undefined {
    return this.#listedVmCount;
  }

  /** @returns the retry budget of a service on this VM */
  getBudget(service: ServiceName): SharedRetryBudget {
    const existing = this.#budgets.get(service);
    if (existing !== undefined) return existing;
    const budget = new SharedRetryBudget(this.options.retries, () => this.#estimateVmCount());
    this.#budgets.set(service, budget);
    return budget;
  }

  /** Estimates how many VMs share the retry budgets: VMs that report may not be listed yet, and others do not report yet. */
  #estimateVmCount(): number | undefined {
    if (this.#listedVmCount === undefined) return undefined;
    const reporting = this.sharedLoad.countLive(this.options.getNowMs()) + 1;
    return Math.ceil(Math.max(reporting, this.#listedVmCount) * (1 + VM_GROWTH_SHARE));
  }

  /** Whether a worker's process has ended; unknown, and so false, while this VM's own links are lost. */
  async #hasEnded(address: string): Promise<boolean> {
    if (!(await isPortClosed(address))) return false;
    await this.links.check(LinkSign.NotConnected);
    return !this.links.isLost;
  }

  #isInService({ id, startedAtMs }: Worker): boolean {
    const registered = this.fleet.directory.find(id);
    return registered?.startedAtMs === startedAtMs && !registered.isLeaving;
  }

  #registerGauges(): void {
    const { metrics } = this;
    metrics.registerGauge(MetricName.Generation, () => [
      { labels: {}, value: this.#configuration?.version ?? 0 },
    ]);
    metrics.registerGauge(MetricName.ConfigurationAge, () => [
      { labels: {}, value: (this.configurationAgeMs ?? 0) / MS_PER_SECOND },
    ]);
    metrics.registerGauge(MetricName.StoreAnswerAge, () =>
      [...this.#storeAnsweredAtMs.keys()].map((kind) => ({
        labels: { kind },
        value: (this.getStoreAnswerAgeMs(kind) ?? 0) / MS_PER_SECOND,
      })),
    );
    metrics.registerGauge(MetricName.StoreEra, () => [{ labels: {}, value: this.getStoreEra() }]);
    metrics.registerGauge(MetricName.Queued, () => [
      { labels: { service: '', class: '' }, value: this.queue.size },
    ]);
    metrics.registerGauge(MetricName.RefusedParts, () => [
      { labels: {}, value: this.partQuarantine.refusedCount },
    ]);
    metrics.registerGauge(MetricName.LimitedWorkers, () => [
      { labels: {}, value: this.workerLimits.limitedCount },
    ]);
    metrics.registerGauge(MetricName.WorkerSpeed, () =>
      this.paces.listKnown().map(({ worker, pace }) => ({
        labels: { service: worker.service, upstream: worker.id },
        value: pace.speed,
      })),
    );
    metrics.registerGauge(MetricName.LinksLost, () => [
      { labels: {}, value: this.links.isLost ? 1 : 0 },
    ]);
    metrics.registerGauge(MetricName.Members, () => [
      {
        labels: { state: 'alive' },
        value: this.sharedLoad.countLive(this.options.getNowMs()) + 1,
      },
    ]);
    metrics.registerGauge(MetricName.Upstreams, () => {
      const workers = this.fleet.directory.listAll();
      const leaving = workers.filter((worker) => worker.isLeaving).length;
      return [
        { labels: { pool: '', health: 'ready' }, value: workers.length - leaving },
        { labels: { pool: '', health: 'leaving' }, value: leaving },
      ];
    });
  }
}

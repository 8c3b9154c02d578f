import { createMetrics, MetricName, toBranded } from '@sardinegrade/common';
import { RetryBudget } from '@sardinegrade/dispatch';
import {
  CrashTracker,
  DataCentreMonitor,
  RouteTable,
  SharedLoadView,
  StreamPace,
} from '@sardinegrade/routing';

import { RequestQueue } from './waiting/index.js';
import { WorkerFleet } from './workers/index.js';

import type { DataCentreName, Logger, ServiceName, UpstreamId } from '@sardinegrade/common';
import type { RandomSource, RetryBudgetLimits } from '@sardinegrade/dispatch';
import type { Crash, PromptPart, RoutingConfiguration, Worker } from '@sardinegrade/routing';
import type { ForwardProtocol } from './types.js';

/** Limits of the retries that all VMs share for a service. */
export interface SharedRetryLimits {
  /** Retries for each request of callers. */
  readonly share: number;
  /** Retries beyond that, within the window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** What the forwarder runs with. */
export interface ForwarderOptions {
  readonly protocol: ForwardProtocol;
  readonly dataCentre: DataCentreName;
  readonly retries: SharedRetryLimits;
  readonly logger: Logger;
  readonly random: RandomSource;
  /** Milliseconds of a clock that never goes back. */
  readonly getNowMs: () => number;
}

/** VMs that may share a retry budget while nobody has counted them: more than the largest site has today. */
const DEFAULT_VM_COUNT = 100;

/** VMs that may be added before this one hears of them, as a part of those that it knows. */
const VM_GROWTH_SHARE = 0.25;

/** Part of the shared budget that is used: requests in flight at the window's edge are counted by others. */
const USABLE_BUDGET_SHARE = 0.8;

const MS_PER_SECOND = 1_000;

/** Names one life of a worker: a crash counts once for each. */
export const toInstanceId = (worker: Worker): UpstreamId =>
  toBranded(`${worker.id}@${worker.startedAtMs}`);

/** What the forwarder believes: the configuration in force, the workers and the budgets. */
export class ForwarderState {
  readonly fleet = new WorkerFleet();
  /** What other VMs have sent to the engines. */
  readonly sharedLoad = new SharedLoadView();
  /** Which data centres are out of reach. */
  readonly dataCentres = new DataCentreMonitor();
  readonly queue: RequestQueue;
  /** How long streams go on at present. */
  readonly pace = new StreamPace();
  readonly metrics = createMetrics();
  /** Requests that crash workers. */
  readonly crashes = new CrashTracker();
  /** Hears of crashes that this VM saw. */
  onCrashes: (crashes: readonly Crash[]) => void = () => undefined;
  /** Hears of each prompt that is sent to an engine. */
  onPlacement: (upstream: UpstreamId, parts: readonly PromptPart[]) => void = () => undefined;
  #configuration: RoutingConfiguration | undefined;
  #routes = new RouteTable([]);
  #isDraining = false;
  #vmCount = DEFAULT_VM_COUNT;
  readonly #budgets = new Map<ServiceName, RetryBudget>();

  /** @param options - what it runs with */
  constructor(readonly options: ForwarderOptions) {
    this.queue = new RequestQueue(options.getNowMs);
    this.#registerGauges();
  }

  /** The configuration in force; undefined until the first is known. */
  get configuration(): RoutingConfiguration | undefined {
    return this.#configuration;
  }

  get routes(): RouteTable {
    return this.#routes;
  }

  /** Whether the process is to end: it serves what comes, and asks callers to go elsewhere. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Begins to drain. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /**
   * Puts a configuration in force, unless a newer one is.
   *
   * @param configuration - what was read
   * @returns whether it is in force now
   */
  apply(configuration: RoutingConfiguration): boolean {
    if (this.#configuration !== undefined && configuration.version <= this.#configuration.version) {
      return false;
    }
    this.#configuration = configuration;
    this.#routes = new RouteTable(configuration.routes);
    return true;
  }

  /** Records that a life of a worker is over: what broke off on it shortly before is suspect. */
  recordDeath(worker: Worker): void {
    const crashes = this.crashes.recordInstanceEnd(toInstanceId(worker), this.options.getNowMs());
    if (crashes.length === 0) return;
    this.options.logger.warn('worker crashed under requests', {
      upstream: worker.id,
      count: crashes.length,
      inputs: { fingerprints: crashes.map(({ fingerprint }) => fingerprint).join(' ') },
    });
    this.onCrashes(crashes);
  }

  /** Records how many VMs there are: they share the retry budgets. */
  setVmCount(count: number): void {
    this.#vmCount = Math.ceil(count * (1 + VM_GROWTH_SHARE));
    for (const budget of this.#budgets.values()) budget.setLimits(this.#computeRetryLimits());
  }

  /** @returns the retry budget of a service */
  getBudget(service: ServiceName): RetryBudget {
    const existing = this.#budgets.get(service);
    if (existing !== undefined) return existing;
    const { retries, getNowMs } = this.options;
    const limits = this.#computeRetryLimits();
    const budget = new RetryBudget(retries.share * USABLE_BUDGET_SHARE, getNowMs(), limits);
    this.#budgets.set(service, budget);
    return budget;
  }

  #computeRetryLimits(): RetryBudgetLimits {
    const { slack, windowMs } = this.options.retries;
    // Half may be spent at once and half is earned within the window, so no window sees more than the slack.
    const vmShare = (slack * USABLE_BUDGET_SHARE) / this.#vmCount / 2;
    return { tokenLimit: vmShare, tokensPerSecond: vmShare / (windowMs / MS_PER_SECOND) };
  }

  #registerGauges(): void {
    const { metrics } = this;
    metrics.registerGauge(MetricName.Generation, () => [
      { labels: {}, value: this.#configuration?.version ?? 0 },
    ]);
    metrics.registerGauge(MetricName.Queued, () => [
      { labels: { service: '', class: '' }, value: this.queue.size },
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

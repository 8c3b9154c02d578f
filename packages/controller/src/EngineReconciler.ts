import { ConfigurationStore, applyDrains, parseConfiguration } from '@sardinegrade/fleet';

import { STATE_TIMEOUT_MS } from './constants.js';
import {
  FailureBackoff,
  LoadLimiter,
  OrderKind,
  OrderOutcome,
  deriveOrders,
} from './orders/index.js';

import type { Clock, DataCentreName, Logger, UpstreamId } from '@sardinegrade/common';
import type { FleetConfiguration } from '@sardinegrade/fleet';
import type { LeaseAgent } from '@sardinegrade/lease';
import type { PlatformClient } from '@sardinegrade/platform';
import type { EngineClient, EngineOrder, EngineState, LoadLimits } from './orders/index.js';

/** Dependencies and settings of an engine reconciler. */
export interface EngineReconcilerOptions {
  readonly dataCentre: DataCentreName;
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly lease: Pick<LeaseAgent, 'getFencing' | 'reportFenced'>;
  /** Monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time limit of an order other than a load. */
  readonly deadlineMs: number;
  /** Time limit of a load, which fetches model weights. */
  readonly loadDeadlineMs: number;
  readonly limits: LoadLimits;
}

/** Number of orders sent since the start, by outcome. */
export type OrderCounts = Readonly<Record<OrderOutcome, number>>;

const describeOrder = (order: EngineOrder): string =>
  [order.kind, order.model, order.version, order.adapter, order.role]
    .filter((part) => part !== undefined)
    .join(' ');

/** Sends orders that bring a data centre's engines to their configured state, while this process holds the lease. */
export class EngineReconciler {
  private readonly options: EngineReconcilerOptions;
  private readonly loadLimiter: LoadLimiter;
  private readonly backoff = new FailureBackoff();
  private readonly store: ConfigurationStore;
  private readonly inFlight = new Map<UpstreamId, Promise<void>>();
  private readonly abortController = new AbortController();
  private readonly counts = { done: 0, stale: 0, failed: 0 };

  constructor(options: EngineReconcilerOptions) {
    this.options = options;
    this.loadLimiter = new LoadLimiter(options.limits);
    const { platform, clock } = options;
    this.store = new ConfigurationStore({ platform, clock, getHighestGeneration: () => 0 });
  }

  getCounts(): OrderCounts {
    return { ...this.counts };
  }

  /** Compares the engines' state with the configuration once, and starts the resulting orders. */
  async syncEngines(): Promise<void> {
    if (this.options.lease.getFencing() === undefined) return;
    const configuration = await this.readConfiguration();
    if (configuration === undefined) return;
    const actual = await this.readStates(configuration);
    const busy = new Set(this.inFlight.keys());
    const { dataCentre } = this.options;
    for (const order of deriveOrders({ configuration, dataCentre, actual, busy })) {
      if (this.abortController.signal.aborted) return;
      this.startOrder(order);
    }
  }

  /** Starts no further orders, stops waiting for loads, and waits for the other orders to end. */
  async stop(): Promise<void> {
    this.abortController.abort();
    await Promise.all(this.inFlight.values());
  }

  private async readConfiguration(): Promise<FleetConfiguration | undefined> {
    try {
      const { record } = await this.store.readCurrent();
      if (record === undefined) return undefined;
      return applyDrains(parseConfiguration(record.text, record.generation), record.drains);
    } catch (error) {
      this.options.logger.warn('could not read the configuration', { error });
      return undefined;
    }
  }

  private async readStates(
    configuration: FleetConfiguration,
  ): Promise<ReadonlyMap<UpstreamId, EngineState>> {
    const engines = [...configuration.upstreams.values()].filter(
      ({ pool, dataCentre }) =>
        dataCentre === this.options.dataCentre &&
        (configuration.pools.get(pool)?.models.length ?? 0) > 0,
    );
    const states = new Map<UpstreamId, EngineState>();
    await Promise.all(
      engines.map(async ({ id, address }) => {
        const state = await this.options.engines.readState(address, STATE_TIMEOUT_MS);
        if (state !== undefined) states.set(id, state);
      }),
    );
    return states;
  }

  private startOrder(order: EngineOrder): void {
    const { id } = order.upstream;
    const nowMs = this.options.clock.getNowMs();
    const key = `${id} ${describeOrder(order)}`;
    if (this.inFlight.has(id) || !this.backoff.canTry(key, nowMs)) return;
    const isLoad = order.kind === OrderKind.Load;
    if (isLoad && !this.loadLimiter.acquire(nowMs)) return;
    const run = this.sendOrder(order, key).finally(() => {
      this.inFlight.delete(id);
      if (isLoad) this.loadLimiter.release();
    });
    this.inFlight.set(id, run);
  }

  private async sendOrder(order: EngineOrder, key: string): Promise<void> {
    const { engines, lease, logger, clock, deadlineMs, loadDeadlineMs } = this.options;
    const isLoad = order.kind === OrderKind.Load;
    // Read right before the order is sent: this process may have been suspended since the order was planned.
    const fencing = lease.getFencing();
    if (fencing === undefined) return;
    const outcome = await engines.send(order, {
      fencing,
      deadlineMs: isLoad ? loadDeadlineMs : deadlineMs,
      signal: isLoad ? this.abortController.signal : new AbortController().signal,
    });
    this.counts[outcome] += 1;
    this.backoff.recordResult(key, outcome === OrderOutcome.Done, clock.getNowMs());
    if (outcome === OrderOutcome.Stale) lease.reportFenced();
    const message = `engine order '${describeOrder(order)}': ${outcome}`;
    const fields = { upstream: order.upstream.id };
    if (outcome === OrderOutcome.Done) logger.info(message, fields);
    else logger.warn(message, fields);
  }
}

import { ConfigurationStore, applyDrains, parseConfiguration } from '@sardinegrade/fleet';

import { STATE_TIMEOUT_MS } from './constants.js';
import {
  FailureBackoff,
  LoadPacer,
  OrderKind,
  OrderOutcome,
  deriveOrders,
} from './orders/index.js';

import type { Clock, DataCentreName, Logger, UpstreamId } from '@sardinegrade/common';
import type { FleetConfiguration, LeaseAgent } from '@sardinegrade/fleet';
import type { PlatformClient } from '@sardinegrade/platform';
import type { EngineClient, EngineOrder, EngineState, LoadLimits } from './orders/index.js';

/** What a keeper of engine orders needs. */
export interface OrderKeeperOptions {
  readonly dataCentre: DataCentreName;
  readonly platform: PlatformClient;
  readonly engines: EngineClient;
  readonly lease: Pick<LeaseAgent, 'getFencing' | 'noteOutranked'>;
  /** A monotonic clock. */
  readonly clock: Clock;
  readonly logger: Logger;
  readonly deadlineMs: number;
  readonly loadDeadlineMs: number;
  readonly limits: LoadLimits;
}

/** Orders given since the start, by how they ended. */
export type OrderCounts = Readonly<Record<OrderOutcome, number>>;

const describeOrder = (order: EngineOrder): string =>
  [order.kind, order.model, order.version, order.adapter, order.role]
    .filter((part) => part !== undefined)
    .join(' ');

/** Brings the engines of a data centre to what the configuration says, while it has the lease. */
export class OrderKeeper {
  private readonly options: OrderKeeperOptions;
  private readonly pacer: LoadPacer;
  private readonly backoff = new FailureBackoff();
  private readonly store: ConfigurationStore;
  private readonly underWay = new Map<UpstreamId, Promise<void>>();
  private readonly aborter = new AbortController();
  private readonly counts = { done: 0, stale: 0, failed: 0 };

  constructor(options: OrderKeeperOptions) {
    this.options = options;
    this.pacer = new LoadPacer(options.limits);
    const { platform, clock } = options;
    this.store = new ConfigurationStore({ platform, clock, getHighest: () => 0 });
  }

  getCounts(): OrderCounts {
    return { ...this.counts };
  }

  /** Compares engines with the configuration once, and starts the orders that are due. */
  async syncEngines(): Promise<void> {
    if (this.options.lease.getFencing() === undefined) return;
    const configuration = await this.readConfiguration();
    if (configuration === undefined) return;
    const actual = await this.readStates(configuration);
    const busy = new Set(this.underWay.keys());
    const { dataCentre } = this.options;
    for (const order of deriveOrders({ configuration, dataCentre, actual, busy })) {
      if (this.aborter.signal.aborted) return;
      this.startOrder(order);
    }
  }

  /** Starts no more orders, drops the wait for loads, and waits for the others to end. */
  async stop(): Promise<void> {
    this.aborter.abort();
    await Promise.all(this.underWay.values());
  }

  private async readConfiguration(): Promise<FleetConfiguration | undefined> {
    try {
      const { record } = await this.store.readStanding();
      if (record === undefined) return undefined;
      return applyDrains(parseConfiguration(record.text, record.generation), record.drains);
    } catch (error) {
      this.options.logger.warn('the configuration could not be read', { error });
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
    if (this.underWay.has(id) || !this.backoff.canTry(key, nowMs)) return;
    const isLoad = order.kind === OrderKind.Load;
    if (isLoad && !this.pacer.start(nowMs)) return;
    const run = this.sendOrder(order, key).finally(() => {
      this.underWay.delete(id);
      if (isLoad) this.pacer.finish();
    });
    this.underWay.set(id, run);
  }

  private async sendOrder(order: EngineOrder, key: string): Promise<void> {
    const { engines, lease, logger, clock, deadlineMs, loadDeadlineMs } = this.options;
    const isLoad = order.kind === OrderKind.Load;
    // Read last of all before the order goes out: this process may have been paused since the plan.
    const fencing = lease.getFencing();
    if (fencing === undefined) return;
    const outcome = await engines.send(order, {
      fencing,
      deadlineMs: isLoad ? loadDeadlineMs : deadlineMs,
      signal: isLoad ? this.aborter.signal : new AbortController().signal,
    });
    this.counts[outcome] += 1;
    this.backoff.note(key, outcome === OrderOutcome.Done, clock.getNowMs());
    if (outcome === OrderOutcome.Stale) lease.noteOutranked();
    const message = `order ${describeOrder(order)}: ${outcome}`;
    const fields = { upstream: order.upstream.id };
    if (outcome === OrderOutcome.Done) logger.info(message, fields);
    else logger.warn(message, fields);
  }
}

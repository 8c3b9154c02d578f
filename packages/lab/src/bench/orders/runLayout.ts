import { toBranded } from '@sardinegrade/common';
import {
  CallOutcome,
  createOrderService,
  createWriteBudget,
  DEFAULT_ORDER_TIMINGS,
  deriveOrderName,
  LookupOutcome,
} from '@sardinegrade/orders';
import { build } from 'hdr-histogram-js';

import { buildModelService } from '../../model/orders/modelFleet.js';
import { Simulation } from '../../model/orders/Simulation.js';
import { createAcceptFirstPlatform } from './acceptFirstPlatform.js';
import { createLimitedPlatform } from './limitedPlatform.js';
import { createShardedPlatform, pickShard } from './shardedPlatform.js';
import { RecordLayout } from './types.js';

import type { OrderService, OrderSubmission, ServiceClient } from '@sardinegrade/orders';
import type { PlatformClient } from '@sardinegrade/platform';
import type { LimitedPlatform } from './limitedPlatform.js';
import type { LayoutFigures } from './types.js';

/** A record layout and the load applied to it. */
export interface LayoutLoad {
  readonly seed: number;
  readonly layout: RecordLayout;
  readonly daemons: number;
  readonly ordersPerSecond: number;
  readonly durationMs: number;
  /** The platform's write limit for orders. */
  readonly writesPerSecond: number;
}

const SHARD_COUNT = 8;
const GROUP_DELAY_MS = 20;
const ROUTING_HOP_MS = 1;
const MIN_PLATFORM_LATENCY_MS = 2;
const MAX_PLATFORM_LATENCY_MS = 8;
const MIN_SERVICE_LATENCY_MS = 5;
const MAX_SERVICE_LATENCY_MS = 15;
const DEADLINE_MS = 10_000;
const CONCURRENCY = 1_000;
const MS_PER_SECOND = 1_000;
const MAX_TRACKED_LATENCY_MS = 60_000;

const SERVICE = buildModelService({ hasLookup: false });
const WORKSPACE = toBranded<OrderSubmission['workspace']>('rig-desk');

const SHARDED_LAYOUTS: ReadonlySet<RecordLayout> = new Set([
  RecordLayout.ShardsRouted,
  RecordLayout.ShardsUnrouted,
]);

/** A run of one record layout under load. */
class LayoutRun {
  private readonly world: Simulation;
  private readonly platform: LimitedPlatform;
  private readonly daemons: readonly OrderService[];
  private readonly latencies = build({ highestTrackableValue: MAX_TRACKED_LATENCY_MS });
  private answered = 0;
  private createdIds = 0;

  constructor(private readonly load: LayoutLoad) {
    this.world = new Simulation(load.seed);
    this.platform = createLimitedPlatform(this.world, {
      minLatencyMs: MIN_PLATFORM_LATENCY_MS,
      maxLatencyMs: MAX_PLATFORM_LATENCY_MS,
      writesPerSecond: load.writesPerSecond,
    });
    this.daemons = Array.from({ length: load.daemons }, () => this.createDaemon());
  }

  async run(): Promise<LayoutFigures> {
    const { load, world } = this;
    const orders = Math.round((load.ordersPerSecond * load.durationMs) / MS_PER_SECOND);
    for (let order = 0; order < orders; order += 1) {
      world.schedule(world.pickBetween(0, load.durationMs), () => void this.sendOrder(order));
    }
    await world.run(world.nowMs + load.durationMs + DEADLINE_MS);
    const { reads, writes } = this.platform.countCalls();
    return {
      layout: load.layout,
      ordersPerSecond: load.ordersPerSecond,
      writesPerOrder: writes / Math.max(1, this.answered),
      readsPerOrder: reads / Math.max(1, this.answered),
      writesPerSecond: (writes * MS_PER_SECOND) / load.durationMs,
      answeredShare: this.answered / orders,
      limitedShare: this.platform.countRateLimited() / Math.max(1, writes),
      p50Ms: this.latencies.getValueAtPercentile(50),
      p95Ms: this.latencies.getValueAtPercentile(95),
      p99Ms: this.latencies.getValueAtPercentile(99),
    };
  }

  private createId(): string {
    this.createdIds += 1;
    return `id-${this.createdIds}`;
  }

  private connectShardedPlatform(): PlatformClient {
    return createShardedPlatform({
      platform: this.platform,
      shardCount: SHARD_COUNT,
      groupDelayMs: GROUP_DELAY_MS,
      sleep: (durationMs) => this.world.sleep(durationMs),
      newId: () => this.createId(),
    });
  }

  private connectPlatform(): PlatformClient {
    const connect: Readonly<Record<RecordLayout, () => PlatformClient>> = {
      [RecordLayout.Objects]: () => this.platform,
      [RecordLayout.ObjectsAcceptedFirst]: () => createAcceptFirstPlatform(this.platform),
      [RecordLayout.ShardsRouted]: () => this.connectShardedPlatform(),
      [RecordLayout.ShardsUnrouted]: () => this.connectShardedPlatform(),
    };
    return connect[this.load.layout]();
  }

  private createCaller(): ServiceClient {
    return {
      callService: async ({ attemptId }) => {
        await this.world.sleep(
          this.world.pickBetween(MIN_SERVICE_LATENCY_MS, MAX_SERVICE_LATENCY_MS),
        );
        const answer = { status: 201, headers: {}, body: Buffer.from(attemptId) };
        return { outcome: CallOutcome.Answered, answer };
      },
      lookupStatus: () => Promise.resolve({ outcome: LookupOutcome.Unavailable }),
    };
  }

  private createDaemon(): OrderService {
    const { world, load } = this;
    // The number of shards and the group delay already limit the write rate of group commit.
    const writesPerSecond = SHARDED_LAYOUTS.has(load.layout)
      ? Infinity
      : load.writesPerSecond / load.daemons;
    return createOrderService({
      platform: this.connectPlatform(),
      serviceClient: this.createCaller(),
      clock: world.clock,
      getMonotonicMs: world.clock.getNowMs,
      sleep: (durationMs) => world.sleep(durationMs),
      vm: toBranded(this.createId()),
      newId: () => this.createId(),
      writeBudget: createWriteBudget({
        clock: world.clock,
        writesPerSecond: Number.isFinite(writesPerSecond)
          ? writesPerSecond
          : Number.MAX_SAFE_INTEGER,
        burst: Number.isFinite(writesPerSecond) ? 2 * writesPerSecond : Number.MAX_SAFE_INTEGER,
      }),
      timings: DEFAULT_ORDER_TIMINGS,
      findService: () => SERVICE,
      isVmGone: () => false,
      onIncident: () => undefined,
    });
  }

  /** Picks a random daemon, or with routing the owner of the order's shard after one more hop. */
  private async pickDaemon(key: string): Promise<OrderService | undefined> {
    if (this.load.layout !== RecordLayout.ShardsRouted) {
      return this.daemons[Math.floor(this.world.pickBetween(0, this.daemons.length))];
    }
    await this.world.sleep(ROUTING_HOP_MS);
    const shard = pickShard(deriveOrderName(WORKSPACE, SERVICE.name, key), SHARD_COUNT);
    return this.daemons[shard % this.daemons.length];
  }

  private async sendOrder(order: number): Promise<void> {
    const startMs = this.world.nowMs;
    const key = `key-${order}`;
    const daemon = await this.pickDaemon(key);
    const result = await daemon?.submitOrder({
      workspace: WORKSPACE,
      service: SERVICE,
      key,
      request: { method: 'POST', path: '/', headers: {}, body: Buffer.from(key) },
      requestId: toBranded('request'),
      traceparent: '',
      deadlineAtMs: startMs + DEADLINE_MS,
      concurrency: CONCURRENCY,
    });
    if (result === undefined || !('answer' in result)) return;
    this.answered += 1;
    this.latencies.recordValue(Math.round(this.world.nowMs - startMs));
  }
}

/**
 * Runs one record layout under load, in virtual time.
 *
 * @param load - layout, rates and seed
 * @returns reads and writes per answered order, and latency percentiles
 */
export const runLayout = (load: LayoutLoad): Promise<LayoutFigures> => new LayoutRun(load).run();

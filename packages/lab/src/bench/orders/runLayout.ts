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
import { VirtualWorld } from '../../model/orders/VirtualWorld.js';
import { createAcceptFirstPlatform } from './acceptFirstPlatform.js';
import { createLimitedPlatform } from './limitedPlatform.js';
import { createShardedPlatform, pickShard } from './shardedPlatform.js';
import { RecordLayout } from './types.js';

import type { OrderService, OrderSubmission, ServiceCaller } from '@sardinegrade/orders';
import type { PlatformClient } from '@sardinegrade/platform';
import type { LimitedPlatform } from './limitedPlatform.js';
import type { LayoutFigures } from './types.js';

/** How a layout is loaded. */
export interface LayoutLoad {
  readonly seed: number;
  readonly layout: RecordLayout;
  readonly daemons: number;
  readonly ordersPerSecond: number;
  readonly durationMs: number;
  /** The part of the platform's writes that orders may use. */
  readonly writesPerSecond: number;
}

const SHARD_COUNT = 8;
const GATHER_MS = 20;
const HOP_MS = 1;
const SHORTEST_PLATFORM_MS = 2;
const LONGEST_PLATFORM_MS = 8;
const SHORTEST_SERVICE_MS = 5;
const LONGEST_SERVICE_MS = 15;
const DEADLINE_MS = 10_000;
const CONCURRENCY = 1_000;
const SECOND_MS = 1_000;
const LONGEST_LATENCY_MS = 60_000;

const SERVICE = buildModelService({ hasLookup: false });
const WORKSPACE = toBranded<OrderSubmission['workspace']>('rig-desk');

const SHARDED: ReadonlySet<RecordLayout> = new Set([
  RecordLayout.ShardsRouted,
  RecordLayout.ShardsUnrouted,
]);

/** One layout under load. */
class LayoutRun {
  private readonly world: VirtualWorld;
  private readonly platform: LimitedPlatform;
  private readonly daemons: readonly OrderService[];
  private readonly latencies = build({ highestTrackableValue: LONGEST_LATENCY_MS });
  private answered = 0;
  private ids = 0;

  constructor(private readonly load: LayoutLoad) {
    this.world = new VirtualWorld(load.seed);
    this.platform = createLimitedPlatform(this.world, {
      shortestMs: SHORTEST_PLATFORM_MS,
      longestMs: LONGEST_PLATFORM_MS,
      writesPerSecond: load.writesPerSecond,
    });
    this.daemons = Array.from({ length: load.daemons }, () => this.createDaemon());
  }

  async run(): Promise<LayoutFigures> {
    const { load, world } = this;
    const orders = Math.round((load.ordersPerSecond * load.durationMs) / SECOND_MS);
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
      writesPerSecond: (writes * SECOND_MS) / load.durationMs,
      answeredShare: this.answered / orders,
      limitedShare: this.platform.countLimited() / Math.max(1, writes),
      p50Ms: this.latencies.getValueAtPercentile(50),
      p95Ms: this.latencies.getValueAtPercentile(95),
      p99Ms: this.latencies.getValueAtPercentile(99),
    };
  }

  private createId(): string {
    this.ids += 1;
    return `id-${this.ids}`;
  }

  private connectSharded(): PlatformClient {
    return createShardedPlatform({
      platform: this.platform,
      shardCount: SHARD_COUNT,
      gatherMs: GATHER_MS,
      sleep: (durationMs) => this.world.sleep(durationMs),
      newId: () => this.createId(),
    });
  }

  private connectPlatform(): PlatformClient {
    const connect: Readonly<Record<RecordLayout, () => PlatformClient>> = {
      [RecordLayout.Objects]: () => this.platform,
      [RecordLayout.ObjectsAcceptedFirst]: () => createAcceptFirstPlatform(this.platform),
      [RecordLayout.ShardsRouted]: () => this.connectSharded(),
      [RecordLayout.ShardsUnrouted]: () => this.connectSharded(),
    };
    return connect[this.load.layout]();
  }

  private createCaller(): ServiceCaller {
    return {
      callService: async ({ attemptId }) => {
        await this.world.sleep(this.world.pickBetween(SHORTEST_SERVICE_MS, LONGEST_SERVICE_MS));
        const answer = { status: 201, headers: {}, body: Buffer.from(attemptId) };
        return { outcome: CallOutcome.Answered, answer };
      },
      lookupStatus: () => Promise.resolve({ outcome: LookupOutcome.Unavailable }),
    };
  }

  private createDaemon(): OrderService {
    const { world, load } = this;
    // Group commit has a budget of its own in the number of shards and the time they gather.
    const rate = SHARDED.has(load.layout) ? Infinity : load.writesPerSecond / load.daemons;
    return createOrderService({
      platform: this.connectPlatform(),
      caller: this.createCaller(),
      clock: world.clock,
      getMonotonicMs: world.clock.getNowMs,
      sleep: (durationMs) => world.sleep(durationMs),
      vm: toBranded(this.createId()),
      newId: () => this.createId(),
      writeBudget: createWriteBudget({
        clock: world.clock,
        writesPerSecond: Number.isFinite(rate) ? rate : Number.MAX_SAFE_INTEGER,
        burst: Number.isFinite(rate) ? 2 * rate : Number.MAX_SAFE_INTEGER,
      }),
      timings: DEFAULT_ORDER_TIMINGS,
      findService: () => SERVICE,
      isVmGone: () => false,
      onIncident: () => undefined,
    });
  }

  /** Any daemon, or with routing the one that owns the order's shard, a hop further. */
  private async pickDaemon(key: string): Promise<OrderService | undefined> {
    if (this.load.layout !== RecordLayout.ShardsRouted) {
      return this.daemons[Math.floor(this.world.pickBetween(0, this.daemons.length))];
    }
    await this.world.sleep(HOP_MS);
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
 * Runs one layout of records under load, in virtual time.
 *
 * @param load - layout, rates and seed
 * @returns writes, reads and latency per answered order
 */
export const runLayout = (load: LayoutLoad): Promise<LayoutFigures> => new LayoutRun(load).run();

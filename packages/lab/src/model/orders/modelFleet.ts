import { ServiceKind, toBranded } from '@sardinegrade/common';
import { createOrderService, createWriteBudget, DEFAULT_ORDER_TIMINGS } from '@sardinegrade/orders';

import { createNaiveOrders } from './naiveOrders.js';

import type { Clock, ServiceConfiguration, VmId } from '@sardinegrade/common';
import type { OrderService } from '@sardinegrade/orders';
import type { ModelPlatform } from './modelPlatform.js';
import type { ModelService } from './modelService.js';
import type { ModelOrders, OrderSchedule } from './types.js';
import type { Host, VirtualWorld } from './VirtualWorld.js';

/** One daemon of a model. */
export interface ModelDaemon {
  readonly vm: VmId;
  readonly host: Host;
  readonly orders: ModelOrders;
  /** The daemon's own clock, which differs from others'. */
  readonly getNowMs: () => number;
  /** Undefined in the naive version. */
  readonly service: OrderService | undefined;
}

/** The daemons of a model, each replaced after its crash. */
export interface ModelFleet {
  readonly findDaemon: (index: number) => ModelDaemon | undefined;
  /** Stops a daemon for long. */
  readonly pauseHost: (host: Host) => void;
  readonly countFaults: () => { readonly crashes: number; readonly pauses: number };
  /** Ends all faults; paused daemons go on. */
  readonly stopFaults: () => void;
}

/** What the daemons share. */
export interface ModelFleetOptions {
  readonly world: VirtualWorld;
  readonly schedule: OrderSchedule;
  readonly platform: ModelPlatform;
  readonly service: ModelService;
  readonly isNaive: boolean;
  /** When faults end; no pause lasts longer. */
  readonly faultyUntilMs: number;
  readonly onCrash: (daemon: ModelDaemon) => void;
}

const SWEEP_INTERVAL_MS = 30_000;
const PAGE_PAUSE_MS = 100;
const SHORT_PAUSE_MS = 3_000;
const LONG_PAUSE_MS = 180_000;
const GONE_AFTER_MS = 5_000;
const LONGEST_RESTART_MS = 20_000;
const CLOCK_SKEW_MS = 60_000;
const WRITES_PER_SECOND = 50;
const DAY_MS = 86_400_000;

/** The service of all models. */
export const buildModelService = (
  schedule: Pick<OrderSchedule, 'hasLookup'>,
): ServiceConfiguration => ({
  name: toBranded('booking'),
  kind: ServiceKind.Plain,
  model: undefined,
  pool: toBranded('booking'),
  dependsOn: [],
  classes: new Map(),
  defaultClass: toBranded('query'),
  repeatableMethods: new Set(['GET']),
  upstreamDeduplicates: false,
  statusLookupPath: schedule.hasLookup ? '/status/{key}' : undefined,
  orderRetentionMs: DAY_MS,
  retry: { budgetShare: 0.1, attemptLimit: 3 },
});

/** Creates and starts the daemons of a model. */
export const createModelFleet = (options: ModelFleetOptions): ModelFleet => {
  const { world, schedule, platform, service, faultyUntilMs } = options;
  const daemons: (ModelDaemon | undefined)[] = [];
  const stoppedAtMs = new Map<VmId, number>();
  const configuration = buildModelService(schedule);
  let ids = 0;
  let crashes = 0;
  let pauses = 0;

  const createId = (): string => {
    ids += 1;
    return `id-${ids}`;
  };

  const isVmGone = (vm: VmId): boolean =>
    world.nowMs - (stoppedAtMs.get(vm) ?? Infinity) > GONE_AFTER_MS;

  const createSkewedClock = (): Clock => {
    const skewMs = world.pickBetween(-CLOCK_SKEW_MS, CLOCK_SKEW_MS);
    return { getNowMs: () => world.nowMs + skewMs };
  };

  const createService = (vm: VmId, host: Host, clock: Clock): OrderService =>
    createOrderService({
      platform: platform.connectHost(host),
      caller: service.connectHost(host),
      clock,
      getMonotonicMs: world.clock.getNowMs,
      sleep: (durationMs) => world.sleep(durationMs, host),
      vm,
      newId: createId,
      writeBudget: createWriteBudget({
        clock,
        writesPerSecond: WRITES_PER_SECOND,
        burst: WRITES_PER_SECOND,
      }),
      timings: DEFAULT_ORDER_TIMINGS,
      findService: () => configuration,
      isVmGone,
      onIncident: () => undefined,
    });

  const scheduleSweep = (orders: OrderService, host: Host) =>
    world.schedule(
      SWEEP_INTERVAL_MS,
      () => {
        void orders.publishOpenOrders();
        orders.sweepGoneDaemons().catch(() => undefined);
        orders.sweepOrders(PAGE_PAUSE_MS, () => true).catch(() => undefined);
        scheduleSweep(orders, host);
      },
      host,
    );

  const startDaemon = (index: number) => {
    const vm: VmId = toBranded(createId());
    const host: Host = { pausedUntilMs: 0, isCrashed: false };
    const clock = createSkewedClock();
    const { getNowMs } = clock;
    if (options.isNaive) {
      const orders = createNaiveOrders(service.connectHost(host), createId);
      daemons[index] = { vm, host, orders, getNowMs, service: undefined };
      return;
    }
    const orders = createService(vm, host, clock);
    daemons[index] = { vm, host, orders, getNowMs, service: orders };
    scheduleSweep(orders, host);
  };

  const handleCrash = (index: number, daemon: ModelDaemon) => {
    crashes += 1;
    daemon.host.isCrashed = true;
    stoppedAtMs.set(daemon.vm, world.nowMs);
    daemons[index] = undefined;
    options.onCrash(daemon);
    world.schedule(world.pickBetween(1_000, LONGEST_RESTART_MS), () => startDaemon(index));
  };

  const findByHost = (host: Host): ModelDaemon | undefined =>
    daemons.find((daemon) => daemon?.host === host);

  const pauseDaemon = (daemon: ModelDaemon, longestMs: number) => {
    pauses += 1;
    const durationMs = Math.min(world.pickBetween(0, longestMs), faultyUntilMs - world.nowMs);
    daemon.host.pausedUntilMs = world.nowMs + durationMs;
    stoppedAtMs.set(daemon.vm, world.nowMs);
    world.schedule(durationMs, () => {
      if (!daemon.host.isCrashed) stoppedAtMs.delete(daemon.vm);
    });
  };

  const handleStep = (host: Host) => {
    if (host.isCrashed || host.pausedUntilMs > world.nowMs) return;
    const isCrash = world.hasLuck(schedule.chances.crash);
    const isPause = world.hasLuck(schedule.chances.pause);
    if (!isCrash && !isPause) return;
    const daemon = findByHost(host);
    if (daemon === undefined) return;
    if (isCrash) {
      handleCrash(daemons.indexOf(daemon), daemon);
      return;
    }
    const longestMs = world.hasLuck(0.5) ? SHORT_PAUSE_MS : LONG_PAUSE_MS;
    pauseDaemon(daemon, longestMs);
  };

  const pauseHost = (host: Host) => {
    const daemon = findByHost(host);
    if (daemon !== undefined) pauseDaemon(daemon, LONG_PAUSE_MS);
  };

  const stopFaults = () => {
    world.onStep = () => undefined;
    for (const daemon of daemons) {
      if (daemon === undefined) continue;
      daemon.host.pausedUntilMs = 0;
      stoppedAtMs.delete(daemon.vm);
    }
  };

  for (let index = 0; index < schedule.daemons; index += 1) startDaemon(index);
  world.onStep = handleStep;
  return {
    findDaemon: (index) => daemons[index],
    pauseHost,
    countFaults: () => ({ crashes, pauses }),
    stopFaults,
  };
};

import { ServiceKind, toBranded } from '@sardinegrade/common';
import { createOrderService, createWriteBudget, DEFAULT_ORDER_TIMINGS } from '@sardinegrade/orders';

import { createNaiveOrders } from './naiveOrders.js';

import type { Clock, ServiceConfiguration, VmId } from '@sardinegrade/common';
import type { OrderService } from '@sardinegrade/orders';
import type { ModelPlatform } from './modelPlatform.js';
import type { ModelService } from './modelService.js';
import type { ModelOrders, OrderSchedule } from './types.js';
import type { SimulatedHost, Simulation } from './Simulation.js';

/** A daemon of a model and its order service. */
export interface ModelDaemon {
  readonly vm: VmId;
  readonly host: SimulatedHost;
  readonly orders: ModelOrders;
  /** The daemon's wall clock, skewed against those of the other daemons. */
  readonly getNowMs: () => number;
  /** Undefined for the naive implementation. */
  readonly service: OrderService | undefined;
}

/** The daemons of a model; a daemon that crashes is replaced after a random delay. */
export interface ModelFleet {
  readonly findDaemon: (index: number) => ModelDaemon | undefined;
  /** Pauses the daemon of a host for up to three minutes. */
  readonly pauseHost: (host: SimulatedHost) => void;
  readonly countFaults: () => { readonly crashes: number; readonly pauses: number };
  /** Stops injecting faults and resumes the paused daemons. */
  readonly stopFaults: () => void;
}

/** Dependencies and settings that all daemons of a model share. */
export interface ModelFleetOptions {
  readonly simulation: Simulation;
  readonly schedule: OrderSchedule;
  readonly platform: ModelPlatform;
  readonly service: ModelService;
  readonly isNaive: boolean;
  /** Virtual time at which faults end, in milliseconds; no pause lasts longer. */
  readonly faultsEndAtMs: number;
  readonly onCrash: (daemon: ModelDaemon) => void;
}

const SWEEP_INTERVAL_MS = 30_000;
const SWEEP_PAGE_PAUSE_MS = 100;
const MAX_SHORT_PAUSE_MS = 3_000;
const MAX_LONG_PAUSE_MS = 180_000;
const VM_GONE_AFTER_MS = 5_000;
const MAX_RESTART_DELAY_MS = 20_000;
const MAX_CLOCK_SKEW_MS = 60_000;
const WRITES_PER_SECOND = 50;
const DAY_MS = 86_400_000;

/** Builds the configuration of the service that all models use. */
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

/** Creates the daemons of a model, starts them, and injects crashes and pauses. */
export const createModelFleet = (options: ModelFleetOptions): ModelFleet => {
  const { simulation, schedule, platform, service, faultsEndAtMs } = options;
  const daemons: (ModelDaemon | undefined)[] = [];
  const stoppedAtMs = new Map<VmId, number>();
  const configuration = buildModelService(schedule);
  let idCount = 0;
  let crashes = 0;
  let pauses = 0;

  const createId = (): string => {
    idCount += 1;
    return `id-${idCount}`;
  };

  const isVmGone = (vm: VmId): boolean =>
    simulation.nowMs - (stoppedAtMs.get(vm) ?? Infinity) > VM_GONE_AFTER_MS;

  const createSkewedClock = (): Clock => {
    const skewMs = simulation.pickBetween(-MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS);
    return { getNowMs: () => simulation.nowMs + skewMs };
  };

  const createService = (vm: VmId, host: SimulatedHost, clock: Clock): OrderService =>
    createOrderService({
      platform: platform.connectHost(host),
      serviceClient: service.connectHost(host),
      clock,
      getMonotonicMs: simulation.clock.getNowMs,
      sleep: (durationMs) => simulation.sleep(durationMs, host),
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

  const scheduleSweep = (orders: OrderService, host: SimulatedHost) =>
    simulation.schedule(
      SWEEP_INTERVAL_MS,
      () => {
        void orders.publishOpenOrders();
        orders.sweepGoneDaemons().catch(() => undefined);
        orders.sweepOrders(SWEEP_PAGE_PAUSE_MS, () => true).catch(() => undefined);
        scheduleSweep(orders, host);
      },
      host,
    );

  const startDaemon = (index: number) => {
    const vm: VmId = toBranded(createId());
    const host: SimulatedHost = { pausedUntilMs: 0, isCrashed: false };
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
    stoppedAtMs.set(daemon.vm, simulation.nowMs);
    daemons[index] = undefined;
    options.onCrash(daemon);
    simulation.schedule(simulation.pickBetween(1_000, MAX_RESTART_DELAY_MS), () =>
      startDaemon(index),
    );
  };

  const findByHost = (host: SimulatedHost): ModelDaemon | undefined =>
    daemons.find((daemon) => daemon?.host === host);

  const pauseDaemon = (daemon: ModelDaemon, maxDurationMs: number) => {
    pauses += 1;
    const durationMs = Math.min(
      simulation.pickBetween(0, maxDurationMs),
      faultsEndAtMs - simulation.nowMs,
    );
    daemon.host.pausedUntilMs = simulation.nowMs + durationMs;
    stoppedAtMs.set(daemon.vm, simulation.nowMs);
    simulation.schedule(durationMs, () => {
      if (!daemon.host.isCrashed) stoppedAtMs.delete(daemon.vm);
    });
  };

  const injectFault = (host: SimulatedHost) => {
    if (host.isCrashed || host.pausedUntilMs > simulation.nowMs) return;
    const isCrash = simulation.pickBoolean(schedule.chances.crash);
    const isPause = simulation.pickBoolean(schedule.chances.pause);
    if (!isCrash && !isPause) return;
    const daemon = findByHost(host);
    if (daemon === undefined) return;
    if (isCrash) {
      handleCrash(daemons.indexOf(daemon), daemon);
      return;
    }
    const maxDurationMs = simulation.pickBoolean(0.5) ? MAX_SHORT_PAUSE_MS : MAX_LONG_PAUSE_MS;
    pauseDaemon(daemon, maxDurationMs);
  };

  const pauseHost = (host: SimulatedHost) => {
    const daemon = findByHost(host);
    if (daemon !== undefined) pauseDaemon(daemon, MAX_LONG_PAUSE_MS);
  };

  const stopFaults = () => {
    simulation.onBeforeEvent = () => undefined;
    for (const daemon of daemons) {
      if (daemon === undefined) continue;
      daemon.host.pausedUntilMs = 0;
      stoppedAtMs.delete(daemon.vm);
    }
  };

  for (let index = 0; index < schedule.daemons; index += 1) startDaemon(index);
  simulation.onBeforeEvent = injectFault;
  return {
    findDaemon: (index) => daemons[index],
    pauseHost,
    countFaults: () => ({ crashes, pauses }),
    stopFaults,
  };
};

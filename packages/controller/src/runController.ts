import { setTimeout as sleep } from 'node:timers/promises';

import { createLogger, toBranded } from '@sardinegrade/common';
import { createLeaseAgent } from '@sardinegrade/lease';
import { createPlatformClient } from '@sardinegrade/platform';
import { periodic } from 'most';

import { LEASE_TICK_MS, RELEASE_TIMEOUT_MS } from './constants.js';
import { EngineReconciler } from './EngineReconciler.js';
import { createEngineClient } from './orders/index.js';
import { startStatusServer } from './startStatusServer.js';

import type { Clock } from '@sardinegrade/common';
import type { EngineReconcilerOptions } from './EngineReconciler.js';
import type { ControllerSettings } from './settings/index.js';

/** A running controller. */
export interface RunningController {
  /** Address of its status server, `host:port`. */
  readonly address: string;
  /** Stops waiting for loads, waits for the other orders to end, releases the lease and closes all connections. */
  readonly stop: () => Promise<void>;
}

/** The wall clock may be set back, which must not extend a lease. */
const MONOTONIC_CLOCK: Clock = { getNowMs: () => performance.now() };

const createReconciler = (
  settings: ControllerSettings,
  shared: Pick<EngineReconcilerOptions, 'platform' | 'lease' | 'logger' | 'engines'>,
): EngineReconciler => {
  const { orders, vm } = settings;
  return new EngineReconciler({
    ...shared,
    dataCentre: toBranded(vm.data_centre),
    clock: MONOTONIC_CLOCK,
    deadlineMs: orders.deadline,
    loadDeadlineMs: orders.load_deadline,
    limits: { parallelLoads: orders.parallel_loads, loadsPerMinute: orders.loads_per_minute },
  });
};

const createLeaseTimings = ({ lease, orders }: ControllerSettings) => ({
  durationMs: lease.duration,
  renewIntervalMs: lease.renew_interval,
  standbyIntervalMs: lease.standby_interval,
  orderDeadlineMs: orders.deadline,
  marginMs: lease.margin,
});

/**
 * Runs a controller. It competes for its data centre's lease, and sends orders while it holds the lease.
 *
 * @param settings - the controller's settings
 * @returns the running controller
 */
export const runController = async (settings: ControllerSettings): Promise<RunningController> => {
  const { vm } = settings;
  const logger = createLogger({ ...settings.log, fields: { vm: vm.id } });
  const platform = createPlatformClient({ address: settings.platform.address });
  const lease = createLeaseAgent({
    platform,
    clock: MONOTONIC_CLOCK,
    random: Math.random,
    name: `engine-orders.${vm.data_centre}`,
    holder: vm.id,
    timings: createLeaseTimings(settings),
  });
  const engines = createEngineClient(settings.orders.deadline);
  const reconciler = createReconciler(settings, { platform, lease, logger, engines });
  const status = await startStatusServer(settings.administration.listen, () => ({
    phase: lease.getPhase(),
    fencing: lease.getFencing(),
    orders: reconciler.getCounts(),
  }));

  const stopped = new AbortController();
  void periodic(LEASE_TICK_MS)
    .takeWhile(() => !stopped.signal.aborted)
    .observe(lease.tick);
  const runReconciliation = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      await reconciler.syncEngines();
      await sleep(settings.orders.interval, undefined, { signal: stopped.signal }).catch(
        () => undefined,
      );
    }
  };
  const reconciliation = runReconciliation();

  return {
    address: status.address,
    stop: async () => {
      await reconciler.stop();
      await Promise.race([lease.release(), sleep(RELEASE_TIMEOUT_MS)]);
      stopped.abort();
      await reconciliation;
      status.server.close();
      status.server.closeAllConnections();
      await engines.close();
      await platform.close();
    },
  };
};

import { setTimeout as sleep } from 'node:timers/promises';

import { createLogger, toBranded } from '@sardinegrade/common';
import { createLeaseAgent } from '@sardinegrade/fleet';
import { createPlatformClient } from '@sardinegrade/platform';
import { periodic } from 'most';

import { LEASE_TICK_MS, RELEASE_TIMEOUT_MS } from './constants.js';
import { OrderKeeper } from './OrderKeeper.js';
import { createEngineClient } from './orders/index.js';
import { startStatusServer } from './startStatusServer.js';

import type { Clock } from '@sardinegrade/common';
import type { OrderKeeperOptions } from './OrderKeeper.js';
import type { ControllerSettings } from './settings/index.js';

/** A controller that runs. */
export interface RunningController {
  /** Where its status is served, `host:port`. */
  readonly address: string;
  /** Finishes the orders under way, gives the lease up, and ends. */
  readonly stop: () => Promise<void>;
}

/** The machine's clock for wall time may be set back; a lease must not be longer for that. */
const MONOTONIC_CLOCK: Clock = { getNowMs: () => performance.now() };

const createKeeper = (
  settings: ControllerSettings,
  shared: Pick<OrderKeeperOptions, 'platform' | 'lease' | 'logger' | 'engines'>,
): OrderKeeper => {
  const { orders, vm } = settings;
  return new OrderKeeper({
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
 * Runs a controller: it competes for its data centre's lease, and gives orders while it has it.
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
  const keeper = createKeeper(settings, { platform, lease, logger, engines });
  const status = await startStatusServer(settings.administration.listen, () => ({
    phase: lease.getPhase(),
    fencing: lease.getFencing(),
    orders: keeper.getCounts(),
  }));

  const stopped = new AbortController();
  void periodic(LEASE_TICK_MS)
    .takeWhile(() => !stopped.signal.aborted)
    .observe(lease.tick);
  const runOrders = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      await keeper.syncEngines();
      await sleep(settings.orders.interval, undefined, { signal: stopped.signal }).catch(
        () => undefined,
      );
    }
  };
  const finished = runOrders();

  return {
    address: status.address,
    stop: async () => {
      await keeper.stop();
      await Promise.race([lease.release(), sleep(RELEASE_TIMEOUT_MS)]);
      stopped.abort();
      await finished;
      status.server.close();
      status.server.closeAllConnections();
      await engines.close();
      await platform.close();
    },
  };
};

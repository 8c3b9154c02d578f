import { createOrderIntake } from './orderIntake.js';
import { createOrderOperations } from './orderOperations.js';
import { createOrderRunner } from './orderRunner.js';
import { createOrderSettler } from './orderSettler.js';
import { createOrderSweeper } from './orderSweeper.js';
import { createObservations } from './observations.js';
import { createOpenOrderLists } from './openOrderList.js';
import { createRecordStore } from './recordStore.js';
import { createTaskSet } from './taskSet.js';

import type { OrderOperations } from './orderOperations.js';
import type { OrderSweeper } from './orderSweeper.js';
import type { OrderResult, OrderServiceOptions, OrderSubmission } from './types.js';

/** Orders that may not be repeated, as one daemon carries them out. */
export interface OrderService extends OrderOperations, OrderSweeper {
  /**
   * Carries an order out at most once.
   *
   * @param submission - the order as its caller sent it
   * @returns the service's whole answer, or an error that says truthfully whether it was run; never rejects
   */
  readonly submitOrder: (submission: OrderSubmission) => Promise<OrderResult>;
  /**
   * Publishes which orders this daemon has open for long, so that they are found when it is gone. Called
   * every few seconds; it writes only where that has changed, and never rejects.
   */
  readonly publishOpenOrders: () => Promise<void>;
  /** Refuses new orders and waits until every order and settlement under way has ended. */
  readonly drain: () => Promise<void>;
}

/**
 * Creates the order service of one daemon.
 *
 * @param options - the platform, the way to the services, time, ids and limits
 * @returns the service
 */
export const createOrderService = (options: OrderServiceOptions): OrderService => {
  const store = createRecordStore(options);
  const observations = createObservations(options.getMonotonicMs);
  const openLists = createOpenOrderLists({ ...options, observations });
  const tasks = createTaskSet();
  const settler = createOrderSettler({ ...options, store, observations });
  const runner = createOrderRunner({ ...options, store, settler, keepTask: tasks.keepTask });
  const intake = createOrderIntake({
    ...options,
    store,
    settler,
    runner,
    observations,
    openLists,
    tasks,
  });
  const sweeper = createOrderSweeper({ ...options, store, settler, intake, openLists, tasks });
  const operations = createOrderOperations({ ...options, store, settler });

  const { publishOpenOrders } = openLists;

  const drain = async (): Promise<void> => {
    intake.close();
    await tasks.drain();
    await publishOpenOrders();
  };

  return { submitOrder: intake.submitOrder, publishOpenOrders, drain, ...sweeper, ...operations };
};

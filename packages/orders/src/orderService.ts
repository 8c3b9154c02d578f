import { createOrderIntake } from './orderIntake.js';
import { createOrderOperations } from './orderOperations.js';
import { createOrderRunner } from './orderRunner.js';
import { createOrderSettler } from './orderSettler.js';
import { createOrderSweeper } from './orderSweeper.js';
import { createAgeTracker } from './ageTracker.js';
import { createOpenOrderLists } from './openOrderList.js';
import { createRecordStore } from './recordStore.js';
import { createTaskSet } from './taskSet.js';

import type { OrderOperations } from './orderOperations.js';
import type { OrderSweeper } from './orderSweeper.js';
import type { OrderResult, OrderServiceOptions, OrderSubmission } from './types.js';

/** Runs orders, which must not be executed twice, on one daemon. */
export interface OrderService extends OrderOperations, OrderSweeper {
  /**
   * Runs an order at most once.
   *
   * @param submission - the caller's order
   * @returns the service's complete answer, or an error that states whether the order ran; never rejects
   */
  readonly submitOrder: (submission: OrderSubmission) => Promise<OrderResult>;
  /**
   * Stores the list of orders that this daemon has had open for long, so that another daemon finds them if
   * this one is gone. Must be called every few seconds; it writes only changes, and never rejects.
   */
  readonly publishOpenOrders: () => Promise<void>;
  /** Refuses new orders and waits until all orders and settlements in progress have ended. */
  readonly drain: () => Promise<void>;
}

/**
 * Creates the order service of one daemon.
 *
 * @param options - platform client, service client, clocks, id source and limits
 * @returns the service
 */
export const createOrderService = (options: OrderServiceOptions): OrderService => {
  const store = createRecordStore(options);
  const ageTracker = createAgeTracker(options.getMonotonicMs);
  const openLists = createOpenOrderLists({ ...options, ageTracker });
  const tasks = createTaskSet();
  const settler = createOrderSettler({ ...options, store, ageTracker });
  const runner = createOrderRunner({ ...options, store, settler, addTask: tasks.addTask });
  const intake = createOrderIntake({
    ...options,
    store,
    settler,
    runner,
    ageTracker,
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

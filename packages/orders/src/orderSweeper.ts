import { decodeRequest } from './bodyCodec.js';
import { OrderState } from './enums.js';
import { canRemove, isRemovable } from './orderRecord.js';

import type { OrderIntake } from './orderIntake.js';
import type { OrderSettler } from './orderSettler.js';
import type { RecordStore } from './recordStore.js';
import type { TaskSet } from './taskSet.js';
import type { OrderServiceOptions, OrderSubmission, StoredOrder } from './types.js';

/** What one pass over all records came upon. */
export interface SweepReport {
  readonly seen: number;
  readonly takenOver: number;
  readonly settled: number;
  readonly unknown: number;
  readonly removed: number;
}

/** Goes over all records for what other daemons left behind. */
export interface OrderSweeper {
  /**
   * Passes over all records once. One daemon at a time is enough; more do no harm.
   *
   * @param pagePauseMs - pause between two pages of records
   * @param isActive - asked before each page; the pass ends once it says no
   * @returns what was found
   */
  readonly sweepOrders: (pagePauseMs: number, isActive: () => boolean) => Promise<SweepReport>;
}

interface SweeperOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly settler: OrderSettler;
  readonly intake: OrderIntake;
  readonly tasks: TaskSet;
}

type Finding = Exclude<keyof SweepReport, 'seen'> | undefined;

const TAKE_OVER_CONCURRENCY = 1_000;

/** Creates the sweeper of one daemon. */
export const createOrderSweeper = (options: SweeperOptions): OrderSweeper => {
  const { store, settler, intake, tasks, clock, writeBudget } = options;

  const buildSubmission = ({ record }: StoredOrder): OrderSubmission | undefined => {
    const service = options.findService(record.service);
    const request = record.request === undefined ? undefined : decodeRequest(record.request);
    if (service === undefined || request === undefined) return undefined;
    const { workspace, key, requestId, traceparent } = record;
    const deadlineAtMs = Infinity;
    const concurrency = TAKE_OVER_CONCURRENCY;
    return { workspace, service, key, request, requestId, traceparent, deadlineAtMs, concurrency };
  };

  const sweepAccepted = (stored: StoredOrder): Finding => {
    if (!intake.isAbandoned(stored)) return undefined;
    const submission = buildSubmission(stored);
    if (submission === undefined) return undefined;
    tasks.keepTask(intake.takeOver(stored, submission));
    return 'takenOver';
  };

  const sweepDispatched = async (stored: StoredOrder): Promise<Finding> => {
    // Asked in either state, so that this daemon knows how long the attempt has stood.
    const isOrphaned = settler.isOrphaned(stored.record);
    if (stored.record.state === OrderState.Dispatching && !isOrphaned) return undefined;
    const settled = await settler.settleOrphan(stored);
    return settled?.record.state === OrderState.Unknown ? 'unknown' : 'settled';
  };

  const sweepSettled = async (stored: StoredOrder): Promise<Finding> => {
    if (!isRemovable(stored.record, clock.getNowMs())) return undefined;
    if (!canRemove(writeBudget.getFreeShare())) return undefined;
    return (await store.remove(stored)) ? 'removed' : undefined;
  };

  const SWEEP: Readonly<Record<OrderState, (stored: StoredOrder) => Finding | Promise<Finding>>> = {
    [OrderState.Accepted]: sweepAccepted,
    [OrderState.Dispatching]: sweepDispatched,
    [OrderState.Unknown]: sweepDispatched,
    [OrderState.Done]: sweepSettled,
    [OrderState.NotRun]: sweepSettled,
  };

  const sweepOrders = async (
    pagePauseMs: number,
    isActive: () => boolean,
  ): Promise<SweepReport> => {
    const report = { seen: 0, takenOver: 0, settled: 0, unknown: 0, removed: 0 };
    let after: string | undefined;
    while (isActive()) {
      const page = await store.list(after);
      for (const stored of page.orders) {
        report.seen += 1;
        if (intake.isOpen(stored.name)) continue;
        const finding = await SWEEP[stored.record.state](stored);
        if (finding !== undefined) report[finding] += 1;
      }
      after = page.next;
      if (after === undefined) return report;
      await options.sleep(pagePauseMs);
    }
    return report;
  };

  return { sweepOrders };
};

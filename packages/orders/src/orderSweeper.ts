import { decodeRequest } from './bodyCodec.js';
import { OrderState } from './enums.js';
import { canRemove, isRemovable } from './orderRecord.js';

import type { OpenOrderList, OpenOrderLists } from './openOrderList.js';
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
  /**
   * Goes over the orders that daemons which are gone have had open for long. It reads few objects and is
   * called every few seconds, by one daemon.
   *
   * @returns what was found
   */
  readonly sweepGoneDaemons: () => Promise<SweepReport>;
}

interface SweeperOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly settler: OrderSettler;
  readonly intake: OrderIntake;
  readonly openLists: OpenOrderLists;
  readonly tasks: TaskSet;
}

type SweepCounts = { -readonly [Field in keyof SweepReport]: SweepReport[Field] };

const createCounts = (): SweepCounts => ({
  seen: 0,
  takenOver: 0,
  settled: 0,
  unknown: 0,
  removed: 0,
});

type Finding = Exclude<keyof SweepReport, 'seen'> | undefined;

/** Creates the sweeper of one daemon. */
export const createOrderSweeper = (options: SweeperOptions): OrderSweeper => {
  const { store, settler, intake, openLists, tasks, clock, timings, writeBudget } = options;

  const buildSubmission = ({
    record,
  }: StoredOrder): Omit<OrderSubmission, 'concurrency'> | undefined => {
    const service = options.findService(record.service);
    const request = record.request === undefined ? undefined : decodeRequest(record.request);
    if (service === undefined || request === undefined) return undefined;
    const { workspace, key, requestId, traceparent } = record;
    return { workspace, service, key, request, requestId, traceparent, deadlineAtMs: Infinity };
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
    if (!isRemovable(stored.record, clock.getNowMs() - timings.clockMarginMs)) return undefined;
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

  const sweepOne = async (stored: StoredOrder, report: SweepCounts): Promise<void> => {
    report.seen += 1;
    if (intake.isOpen(stored.name)) return;
    const finding = await SWEEP[stored.record.state](stored);
    if (finding !== undefined) report[finding] += 1;
  };

  const sweepOrders = async (
    pagePauseMs: number,
    isActive: () => boolean,
  ): Promise<SweepReport> => {
    const report = createCounts();
    let after: string | undefined;
    while (isActive()) {
      const page = await store.list(after);
      for (const stored of page.orders) await sweepOne(stored, report);
      after = page.next;
      if (after === undefined) return report;
      await options.sleep(pagePauseMs);
    }
    return report;
  };

  const sweepList = async (list: OpenOrderList, report: SweepCounts): Promise<void> => {
    for (const name of list.names) {
      const stored = await store.read(name);
      if (stored !== undefined) await sweepOne(stored, report);
    }
    await openLists.removeList(list);
  };

  const sweepGoneDaemons = async (): Promise<SweepReport> => {
    const report = createCounts();
    for (const list of await openLists.listGone()) await sweepList(list, report);
    return report;
  };

  return { sweepOrders, sweepGoneDaemons };
};

import { decodeRequest } from './bodyCodec.js';
import { OrderState } from './enums.js';
import { canRemove, isRemovable } from './orderRecord.js';

import type { OpenOrderList, OpenOrderLists } from './openOrderList.js';
import type { OrderIntake } from './orderIntake.js';
import type { OrderSettler } from './orderSettler.js';
import type { RecordStore } from './recordStore.js';
import type { TaskSet } from './taskSet.js';
import type { OrderServiceOptions, OrderSubmission, StoredOrder } from './types.js';

/** Counts of one sweep. */
export interface SweepReport {
  /** Records examined. */
  readonly seen: number;
  /** Accepted orders taken over from other daemons. */
  readonly takenOver: number;
  readonly settled: number;
  /** Dispatched orders that remain or became unknown. */
  readonly unknown: number;
  readonly removed: number;
}

/** Searches the records for orders that other daemons left unfinished, and for expired ones. */
export interface OrderSweeper {
  /**
   * Sweeps all records once. One daemon at a time is enough, but several may sweep concurrently.
   *
   * @param pagePauseMs - pause between two pages of records, in milliseconds
   * @param isActive - checked before each page; the sweep ends once it returns false
   * @returns counts of the sweep
   */
  readonly sweepOrders: (pagePauseMs: number, isActive: () => boolean) => Promise<SweepReport>;
  /**
   * Sweeps the orders on the open-order lists of daemons that are gone. It reads few objects, so that one
   * daemon can call it every few seconds.
   *
   * @returns counts of the sweep
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

/** The count of the report that a swept record adds to, if any. */
type SweepResult = Exclude<keyof SweepReport, 'seen'> | undefined;

/** Creates the order sweeper of one daemon. */
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

  const sweepAccepted = (stored: StoredOrder): SweepResult => {
    if (!intake.isAbandoned(stored)) return undefined;
    const submission = buildSubmission(stored);
    if (submission === undefined) return undefined;
    tasks.addTask(intake.takeOver(stored, submission));
    return 'takenOver';
  };

  const sweepDispatched = async (stored: StoredOrder): Promise<SweepResult> => {
    // Called in either state, because the first call starts the measurement of the attempt's age.
    const isOrphaned = settler.isOrphaned(stored.record);
    if (stored.record.state === OrderState.Dispatching && !isOrphaned) return undefined;
    const settled = await settler.settleOrphan(stored);
    return settled?.record.state === OrderState.Unknown ? 'unknown' : 'settled';
  };

  const sweepSettled = async (stored: StoredOrder): Promise<SweepResult> => {
    if (!isRemovable(stored.record, clock.getNowMs() - timings.clockMarginMs)) return undefined;
    if (!canRemove(writeBudget.getFreeShare())) return undefined;
    return (await store.remove(stored)) ? 'removed' : undefined;
  };

  const SWEEP_BY_STATE: Readonly<
    Record<OrderState, (stored: StoredOrder) => SweepResult | Promise<SweepResult>>
  > = {
    [OrderState.Accepted]: sweepAccepted,
    [OrderState.Dispatching]: sweepDispatched,
    [OrderState.Unknown]: sweepDispatched,
    [OrderState.Done]: sweepSettled,
    [OrderState.NotRun]: sweepSettled,
  };

  const sweepOrder = async (stored: StoredOrder, report: SweepCounts): Promise<void> => {
    report.seen += 1;
    if (intake.isOpen(stored.name)) return;
    const result = await SWEEP_BY_STATE[stored.record.state](stored);
    if (result !== undefined) report[result] += 1;
  };

  const sweepOrders = async (
    pagePauseMs: number,
    isActive: () => boolean,
  ): Promise<SweepReport> => {
    const report = createCounts();
    let after: string | undefined;
    while (isActive()) {
      const page = await store.list(after);
      for (const stored of page.orders) await sweepOrder(stored, report);
      after = page.next;
      if (after === undefined) return report;
      await options.sleep(pagePauseMs);
    }
    return report;
  };

  const sweepList = async (list: OpenOrderList, report: SweepCounts): Promise<void> => {
    for (const name of list.names) {
      const stored = await store.read(name);
      if (stored !== undefined) await sweepOrder(stored, report);
    }
    await openLists.removeList(list);
  };

  const sweepGoneDaemons = async (): Promise<SweepReport> => {
    const report = createCounts();
    for (const list of await openLists.fetchListsOfGoneDaemons()) await sweepList(list, report);
    return report;
  };

  return { sweepOrders, sweepGoneDaemons };
};

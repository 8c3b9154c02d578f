import { encodeAnswer } from './bodyCodec.js';
import { LookupOutcome, OrderEvent, OrderState, SaveOutcome } from './enums.js';
import { deriveScopedKey } from './orderName.js';
import { applyEvent } from './orderRecord.js';

import type { AgeTracker } from './ageTracker.js';
import type { RecordStore } from './recordStore.js';
import type { LookupResult, OrderRecord, OrderServiceOptions, StoredOrder } from './types.js';

/** The event that settles an attempt, and what it changes in the record. */
export interface AttemptSettlement {
  readonly event: OrderEvent;
  readonly reason: string;
  readonly patch?: Partial<OrderRecord>;
}

/** Settles attempts whose outcome is known to this daemon or can be obtained from the service. */
export interface OrderSettler {
  /**
   * Records the outcome of an attempt, and retries without a time limit unless another attempt has begun.
   *
   * @returns the resulting record; undefined if it was removed, cannot be read or cannot be written
   */
  readonly settleAttempt: (
    stored: StoredOrder,
    settlement: AttemptSettlement,
  ) => Promise<StoredOrder | undefined>;
  /** Settles a dispatched order whose daemon is gone, as far as its outcome can be determined now. */
  readonly settleOrphan: (stored: StoredOrder) => Promise<StoredOrder | undefined>;
  /** Registers an unsettled attempt, so that its age is measured from now on. */
  readonly observeAttempt: (record: OrderRecord) => void;
  /** Time until the order may be settled as not run; 0 once it may. */
  readonly estimateNotRunWaitMs: (record: OrderRecord) => number;
  /** Whether an attempt's daemon is gone, or has had enough time to settle the attempt and has not. */
  readonly isOrphaned: (record: OrderRecord) => boolean;
}

interface SettlerOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly ageTracker: AgeTracker;
}

/** Creates the order settler of one daemon. */
export const createOrderSettler = (options: SettlerOptions): OrderSettler => {
  const { store, ageTracker, clock, vm, timings, serviceClient } = options;
  const notRunAfterMs = timings.callWindowMs + timings.callTimeoutMs + timings.flightMarginMs;
  const orphanAfterMs = timings.callWindowMs + timings.callTimeoutMs + timings.takeOverAfterMs;

  const measureAttemptAgeMs = (record: OrderRecord): number =>
    ageTracker.measureAgeMs(record.attemptId);

  const observeAttempt = (record: OrderRecord) => {
    if (record.settledAtMs === undefined) measureAttemptAgeMs(record);
  };

  const estimateNotRunWaitMs = (record: OrderRecord): number => {
    const recordedAgeMs =
      clock.getNowMs() - (record.dispatchedAtMs ?? Infinity) - timings.clockMarginMs;
    return Math.max(0, notRunAfterMs - Math.max(measureAttemptAgeMs(record), recordedAgeMs));
  };

  const isOrphaned = (record: OrderRecord): boolean =>
    measureAttemptAgeMs(record) >= orphanAfterMs || options.isVmGone(record.owner);

  const settleAttempt = async (
    stored: StoredOrder,
    settlement: AttemptSettlement,
  ): Promise<StoredOrder | undefined> => {
    const { event, reason, patch } = settlement;
    const { attemptId } = stored.record;
    let current = stored;
    for (;;) {
      const auditedEvent = { event, atMs: clock.getNowMs(), by: `vm:${vm}`, reason };
      const record = applyEvent(current.record, auditedEvent, patch);
      if (record === undefined) return current;
      if (current.record.state === OrderState.NotRun) {
        options.onIncident(
          'a late answer contradicts the settlement of the order as not run',
          stored.name,
        );
      }
      const { name, version } = current;
      const result = await store.writeRecord({
        name,
        ifVersion: version,
        record,
        giveUpAtMs: Infinity,
      });
      if (result.outcome === SaveOutcome.Saved) return result.stored;
      if (result.outcome !== SaveOutcome.Conflict) return undefined;
      if (result.current?.record.attemptId !== attemptId) {
        if (event === OrderEvent.Answered) {
          options.onIncident(
            'a late answer was not recorded: the record belongs to a newer attempt or is missing',
            name,
          );
        }
        return result.current;
      }
      current = result.current;
    }
  };

  /** Settles an attempt of another daemon. The write is not covered by an order's reservation in the write budget. */
  const settleForOtherDaemon: OrderSettler['settleAttempt'] = (stored, settlement) => {
    options.writeBudget.use(1);
    return settleAttempt(stored, settlement);
  };

  const settleByLookup = async (
    stored: StoredOrder,
    result: LookupResult,
    canSettleNotRun: boolean,
  ): Promise<StoredOrder | undefined> => {
    if (result.outcome === LookupOutcome.Done) {
      const patch = { answer: encodeAnswer(result.answer) };
      const reason = 'status look-up: done';
      return settleForOtherDaemon(stored, { event: OrderEvent.Answered, reason, patch });
    }
    if (result.outcome === LookupOutcome.Absent && canSettleNotRun) {
      const reason = 'status look-up: absent';
      return settleForOtherDaemon(stored, { event: OrderEvent.SettleNotRun, reason });
    }
    return undefined;
  };

  const settleOrphan = async (stored: StoredOrder): Promise<StoredOrder | undefined> => {
    const { record } = stored;
    const service = options.findService(record.service);
    if (service?.statusLookupPath !== undefined) {
      // Measured before the look-up: the order's call must not reach the service after the look-up's reply.
      const canSettleNotRun = measureAttemptAgeMs(record) >= notRunAfterMs;
      const key = deriveScopedKey(record.workspace, record.key);
      const result = await serviceClient.lookupStatus(service, key);
      const settled = await settleByLookup(stored, result, canSettleNotRun);
      if (settled !== undefined) return settled;
    }
    if (record.state !== OrderState.Dispatching) return stored;
    const reason = `no outcome from ${record.owner}`;
    return settleForOtherDaemon(stored, { event: OrderEvent.AnswerLost, reason });
  };

  return { settleAttempt, settleOrphan, observeAttempt, estimateNotRunWaitMs, isOrphaned };
};

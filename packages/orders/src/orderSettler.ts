import { encodeAnswer } from './bodyCodec.js';
import { LookupOutcome, OrderEvent, OrderState, SaveOutcome } from './enums.js';
import { deriveScopedKey } from './orderName.js';
import { applyEvent } from './orderRecord.js';

import type { Observations } from './observations.js';
import type { RecordStore } from './recordStore.js';
import type { LookupResult, OrderRecord, OrderServiceOptions, StoredOrder } from './types.js';

/** Why an attempt is settled. */
export interface AttemptSettlement {
  readonly event: OrderEvent;
  readonly reason: string;
  readonly patch?: Partial<OrderRecord>;
}

/** Settles attempts whose outcome is known here or at the service. */
export interface OrderSettler {
  /**
   * Writes an attempt's outcome, for as long as it takes, unless another attempt has begun.
   *
   * @returns the record as it then stands; undefined where it is gone
   */
  readonly settleAttempt: (
    stored: StoredOrder,
    settlement: AttemptSettlement,
  ) => Promise<StoredOrder | undefined>;
  /** Settles a dispatched order whose daemon is gone, as far as that can be known now. */
  readonly settleOrphan: (stored: StoredOrder) => Promise<StoredOrder | undefined>;
  /** Notes that an attempt stands, so that its age is known here from now on. */
  readonly observeAttempt: (record: OrderRecord) => void;
  /** Until the order may be settled as not run; 0 once it may. */
  readonly estimateNotRunWaitMs: (record: OrderRecord) => number;
  /** Whether an attempt has stood for longer than its daemon would take to settle it. */
  readonly isOrphaned: (record: OrderRecord) => boolean;
}

interface SettlerOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly observations: Observations;
}

/** Creates the settler of one daemon. */
export const createOrderSettler = (options: SettlerOptions): OrderSettler => {
  const { store, observations, clock, vm, timings, caller } = options;
  const notRunAfterMs = timings.callWindowMs + timings.callTimeoutMs + timings.flightMarginMs;
  const orphanAfterMs = timings.callWindowMs + timings.callTimeoutMs + timings.takeOverAfterMs;

  const measureAttemptAgeMs = (record: OrderRecord): number =>
    observations.measureAgeMs(record.attemptId);

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
      const note = { event, atMs: clock.getNowMs(), by: `vm:${vm}`, reason };
      const record = applyEvent(current.record, note, patch);
      if (record === undefined) return current;
      if (current.record.state === OrderState.NotRun) {
        options.onIncident('A late answer contradicts a settlement as not run.', stored.name);
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
          options.onIncident('A late answer met a newer attempt or no record.', name);
        }
        return result.current;
      }
      current = result.current;
    }
  };

  /** Settles for another daemon, beyond what orders have reserved of the write budget. */
  const settleForeign: OrderSettler['settleAttempt'] = (stored, settlement) => {
    options.writeBudget.use(1);
    return settleAttempt(stored, settlement);
  };

  const settleByLookup = async (
    stored: StoredOrder,
    result: LookupResult,
    canBeNotRun: boolean,
  ): Promise<StoredOrder | undefined> => {
    if (result.outcome === LookupOutcome.Done) {
      const patch = { answer: encodeAnswer(result.answer) };
      const reason = 'status look-up: done';
      return settleForeign(stored, { event: OrderEvent.Answered, reason, patch });
    }
    if (result.outcome === LookupOutcome.Absent && canBeNotRun) {
      const reason = 'status look-up: absent';
      return settleForeign(stored, { event: OrderEvent.SettleNotRun, reason });
    }
    return undefined;
  };

  const settleOrphan = async (stored: StoredOrder): Promise<StoredOrder | undefined> => {
    const { record } = stored;
    const service = options.findService(record.service);
    if (service?.statusLookupPath !== undefined) {
      // Asked before the look-up is sent: the call must not arrive between its answer and now.
      const canBeNotRun = measureAttemptAgeMs(record) >= notRunAfterMs;
      const key = deriveScopedKey(record.workspace, record.key);
      const result = await caller.lookupStatus(service, key);
      const settled = await settleByLookup(stored, result, canBeNotRun);
      if (settled !== undefined) return settled;
    }
    if (record.state !== OrderState.Dispatching) return stored;
    const reason = `no outcome from ${record.owner}`;
    return settleForeign(stored, { event: OrderEvent.AnswerLost, reason });
  };

  return { settleAttempt, settleOrphan, observeAttempt, estimateNotRunWaitMs, isOrphaned };
};

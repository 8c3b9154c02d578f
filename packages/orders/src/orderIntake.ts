import { ResultCode, RunState, toSardinegradeError } from '@sardinegrade/common';

import { decodeAnswer } from './bodyCodec.js';
import { WAITING_LIMIT, WRITES_PER_ORDER } from './constants.js';
import { OrderEvent, OrderState, SaveOutcome } from './enums.js';
import {
  createAnswerNotKeptError,
  createDeadlineError,
  createExpiredError,
  createInProgressError,
  createMismatchError,
  createPlatformError,
  createQueueFullError,
  createShutdownError,
  createUnknownError,
  createWriteBudgetError,
} from './errors.js';
import { deriveOrderName, hashRequest } from './orderName.js';
import { applyEvent, createRecord, isAnswerExpired } from './orderRecord.js';
import { encodeRequest } from './bodyCodec.js';
import { createServiceSlots } from './serviceSlots.js';

import type { AttemptId } from '@sardinegrade/common';
import type { AgeTracker } from './ageTracker.js';
import type { OpenOrderLists } from './openOrderList.js';
import type { OrderRunner, PendingOrder } from './orderRunner.js';
import type { OrderSettler } from './orderSettler.js';
import type { RecordStore } from './recordStore.js';
import type { TaskSet } from './taskSet.js';
import type {
  OrderRecord,
  OrderResult,
  OrderServiceOptions,
  OrderSubmission,
  StoredOrder,
} from './types.js';

/** Accepts orders: new ones, repeated ones, and those that a gone daemon left unfinished. */
export interface OrderIntake {
  readonly submitOrder: (submission: OrderSubmission) => Promise<OrderResult>;
  /** Runs an accepted order of another daemon that no longer handles it. */
  readonly takeOver: (
    stored: StoredOrder,
    submission: Omit<OrderSubmission, 'concurrency'>,
  ) => Promise<OrderResult>;
  /** Whether an accepted record's daemon is gone, or has left the record unchanged for too long. */
  readonly isAbandoned: (stored: StoredOrder) => boolean;
  /** Whether this daemon is processing the order. */
  readonly isOpen: (name: string) => boolean;
  /** Refuses new orders from now on. */
  readonly close: () => void;
}

interface IntakeOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly settler: OrderSettler;
  readonly runner: OrderRunner;
  readonly ageTracker: AgeTracker;
  readonly openLists: OpenOrderLists;
  readonly tasks: TaskSet;
}

interface OpenOrder {
  readonly fingerprint: string;
  readonly result: Promise<OrderResult>;
}

/** Maximum number of times that an order is restarted because another daemon changed its record. */
const CONFLICT_LIMIT = 4;

/** Whether an order was refused before it ran, for another reason than a mismatch of its request. */
const isNotStarted = (result: OrderResult): boolean =>
  'error' in result &&
  result.error.run === RunState.NotRun &&
  result.error.code !== ResultCode.OrderBodyMismatch;

/** Creates the order intake of one daemon. */
export const createOrderIntake = (options: IntakeOptions): OrderIntake => {
  const { store, settler, runner, ageTracker, openLists, tasks, clock, vm, timings, writeBudget } =
    options;
  const openOrders = new Map<string, OpenOrder>();
  const slots = createServiceSlots();
  let isClosed = false;

  const isAbandoned = ({ name, version, record }: StoredOrder): boolean =>
    options.isVmGone(record.owner) ||
    ageTracker.measureAgeMs(`${name}:${version}`) >= timings.takeOverAfterMs;

  const waitUntil = (deadlineAtMs: number): Promise<void> => {
    if (deadlineAtMs === Infinity) return new Promise(() => undefined);
    return options.sleep(Math.max(0, deadlineAtMs - clock.getNowMs()));
  };

  const respondDone = (record: OrderRecord): OrderResult => {
    if (isAnswerExpired(record, clock.getNowMs())) return { error: createExpiredError() };
    const answer = record.answer === undefined ? undefined : decodeAnswer(record.answer);
    if (answer === undefined) return { error: createAnswerNotKeptError() };
    return { answer, isReplay: true };
  };

  const respondOrphan = async (stored: StoredOrder, order: PendingOrder, conflictsLeft: number) => {
    const settled = await settler.settleOrphan(stored);
    if (settled === undefined) return { error: createInProgressError() };
    if (settled.record.state === OrderState.Unknown) return { error: createUnknownError() };
    return respondExisting(settled, order, conflictsLeft - 1);
  };

  const respondDispatching = (stored: StoredOrder, order: PendingOrder, conflictsLeft: number) => {
    if (!settler.isOrphaned(stored.record)) return { error: createInProgressError() };
    return respondOrphan(stored, order, conflictsLeft);
  };

  const retryOrder = (stored: StoredOrder, order: PendingOrder, conflictsLeft: number) =>
    startOrder({ ...order, base: stored }, conflictsLeft - 1);

  const respondAccepted = (stored: StoredOrder, order: PendingOrder, conflictsLeft: number) => {
    if (!isAbandoned(stored)) return { error: createInProgressError() };
    return retryOrder(stored, order, conflictsLeft);
  };

  /** Response to a request whose order already has a record, by the record's state. */
  const RESPOND_BY_STATE: Readonly<
    Record<
      OrderState,
      (
        stored: StoredOrder,
        order: PendingOrder,
        conflictsLeft: number,
      ) => OrderResult | Promise<OrderResult>
    >
  > = {
    [OrderState.Accepted]: respondAccepted,
    [OrderState.Dispatching]: respondDispatching,
    [OrderState.Done]: ({ record }) => respondDone(record),
    [OrderState.Unknown]: respondOrphan,
    [OrderState.NotRun]: retryOrder,
  };

  const respondExisting = async (
    stored: StoredOrder | undefined,
    order: PendingOrder,
    conflictsLeft: number,
  ): Promise<OrderResult> => {
    if (conflictsLeft <= 0) return { error: createInProgressError() };
    if (stored === undefined) {
      // The record was removed in the meantime, or is unreadable; in the latter case read throws.
      const current = await store.read(order.name);
      return startOrder({ ...order, base: current }, conflictsLeft - 1);
    }
    const isSameRequest = stored.record.fingerprint === hashRequest(order.submission.request);
    if (!isSameRequest) return { error: createMismatchError() };
    return RESPOND_BY_STATE[stored.record.state](stored, order, conflictsLeft);
  };

  const dispatchOrder = async (
    order: PendingOrder,
    conflictsLeft: number,
  ): Promise<OrderResult> => {
    const { name } = order.submission.service;
    let result;
    try {
      result = await runner.dispatchOrder(order);
    } finally {
      slots.release(name);
    }
    if ('conflict' in result) return respondExisting(result.conflict, order, conflictsLeft);
    return result;
  };

  const cancelWaitingOrder = async (
    order: PendingOrder,
    stored: StoredOrder,
  ): Promise<OrderResult> => {
    const auditedEvent = {
      event: OrderEvent.Withdraw,
      atMs: clock.getNowMs(),
      by: `vm:${vm}`,
      reason: 'deadline passed while waiting for a place',
    };
    const record = applyEvent(stored.record, auditedEvent);
    if (record === undefined) return { error: createInProgressError() };
    const giveUpAtMs = options.getMonotonicMs() + timings.acceptTimeoutMs;
    const change = { name: order.name, ifVersion: stored.version, record, giveUpAtMs };
    const result = await store.writeRecord(change);
    if (result.outcome === SaveOutcome.Saved) return { error: createDeadlineError() };
    return { error: createInProgressError() };
  };

  const waitForSlot = async (
    order: PendingOrder,
    stored: StoredOrder,
    conflictsLeft: number,
  ): Promise<OrderResult> => {
    const { service, concurrency, deadlineAtMs } = order.submission;
    const hasSlot = await slots.wait(service.name, concurrency, waitUntil(deadlineAtMs));
    if (!hasSlot) return cancelWaitingOrder(order, stored);
    return dispatchOrder({ ...order, base: stored }, conflictsLeft);
  };

  const buildAcceptedRecord = (order: PendingOrder): OrderRecord | undefined => {
    const { base, submission } = order;
    const nowMs = clock.getNowMs();
    const attemptId = options.newId() as AttemptId;
    if (base === undefined) {
      return createRecord(submission, { state: OrderState.Accepted, owner: vm, attemptId, nowMs });
    }
    const auditedEvent = {
      event: OrderEvent.Accept,
      atMs: nowMs,
      by: `vm:${vm}`,
      reason: 'wait for a place',
    };
    const request = encodeRequest(submission.request);
    return applyEvent(base.record, auditedEvent, { owner: vm, attemptId, request });
  };

  /** Stores a record of an order that has to wait for a slot, so that another daemon can take it over. */
  const acceptOrder = async (order: PendingOrder, conflictsLeft: number): Promise<OrderResult> => {
    const { service } = order.submission;
    if (slots.countWaiting(service.name) >= WAITING_LIMIT) return { error: createQueueFullError() };
    const record = buildAcceptedRecord(order);
    if (record === undefined) return { error: createInProgressError() };
    const giveUpAtMs = options.getMonotonicMs() + timings.acceptTimeoutMs;
    const ifVersion = order.base?.version ?? 0;
    const result = await store.writeRecord({ name: order.name, ifVersion, record, giveUpAtMs });
    switch (result.outcome) {
      case SaveOutcome.Saved:
        return waitForSlot(order, result.stored, conflictsLeft);
      case SaveOutcome.Conflict:
        return respondExisting(result.current, order, conflictsLeft);
      case SaveOutcome.NotSaved:
        return { error: createPlatformError(RunState.NotRun, result.cause) };
      case SaveOutcome.Uncertain:
        // The record may have been written, and another daemon may take the order over.
        return { error: createPlatformError(RunState.Unknown, result.cause) };
    }
  };

  const startOrder = (order: PendingOrder, conflictsLeft: number): Promise<OrderResult> => {
    const { service, concurrency } = order.submission;
    if (slots.acquire(service.name, concurrency)) return dispatchOrder(order, conflictsLeft);
    return acceptOrder(order, conflictsLeft);
  };

  /**
   * Responds when the write budget is spent: from an existing record, without starting the order. Refuses the
   * order if no record can be read or the order has not run.
   */
  const respondWithoutBudget = async (order: PendingOrder): Promise<OrderResult> => {
    const refusal = createWriteBudgetError(writeBudget.estimateWaitMs(WRITES_PER_ORDER));
    const stored = await store.read(order.name).catch(() => undefined);
    if (stored === undefined || stored.record.state === OrderState.NotRun)
      return { error: refusal };
    if (stored.record.state === OrderState.Accepted) return { error: createInProgressError() };
    return respondExisting(stored, order, 1);
  };

  const admitOrder = async (order: PendingOrder): Promise<OrderResult> => {
    try {
      if (!writeBudget.acquire(WRITES_PER_ORDER)) return await respondWithoutBudget(order);
      const result = await startOrder(order, CONFLICT_LIMIT);
      // A replay used one write only: the one that conflicted with the existing record.
      if ('answer' in result && result.isReplay) writeBudget.release(WRITES_PER_ORDER - 1);
      return result;
    } catch (error) {
      return { error: toSardinegradeError(error, RunState.Unknown) };
    }
  };

  const openOrder = (
    order: PendingOrder,
    run: () => Promise<OrderResult>,
  ): Promise<OrderResult> => {
    const fingerprint = hashRequest(order.submission.request);
    openLists.add(order.name);
    const result = run().finally(() => {
      openOrders.delete(order.name);
      openLists.remove(order.name);
    });
    openOrders.set(order.name, { fingerprint, result });
    tasks.addTask(result);
    return result;
  };

  const joinOpenOrder = (order: PendingOrder): Promise<OrderResult> | undefined => {
    const existing = openOrders.get(order.name);
    if (existing === undefined) return undefined;
    const isSameRequest = existing.fingerprint === hashRequest(order.submission.request);
    return isSameRequest ? existing.result : Promise.resolve({ error: createMismatchError() });
  };

  const startSubmission = async (order: PendingOrder): Promise<OrderResult> => {
    const joined = await joinOpenOrder(order);
    // If the joined order was refused without having run, this request does not reuse the refusal but tries again.
    if (joined !== undefined && !isNotStarted(joined)) return joined;
    // Another request may have opened the order again during the wait. Its result is then used, since it
    // started after this request arrived.
    const later = joinOpenOrder(order);
    if (later !== undefined) return later;
    if (isClosed) return { error: createShutdownError() };
    return openOrder(order, () => admitOrder(order));
  };

  const submitOrder = (submission: OrderSubmission): Promise<OrderResult> => {
    const { workspace, service, key, deadlineAtMs } = submission;
    const name = deriveOrderName(workspace, service.name, key);
    const result = startSubmission({ name, submission, base: undefined });
    const timeout = waitUntil(deadlineAtMs).then(() => ({ error: createInProgressError() }));
    return Promise.race([result, timeout]);
  };

  const takeOver: OrderIntake['takeOver'] = (stored, submission) => {
    const concurrency = slots.getLimit(submission.service.name);
    const order = { name: stored.name, submission: { ...submission, concurrency }, base: stored };
    return joinOpenOrder(order) ?? openOrder(order, () => startOrder(order, CONFLICT_LIMIT));
  };

  const close = () => {
    isClosed = true;
  };

  return { submitOrder, takeOver, isAbandoned, isOpen: (name) => openOrders.has(name), close };
};

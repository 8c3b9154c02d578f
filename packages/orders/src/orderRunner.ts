import { RunState } from '@sardinegrade/common';

import { encodeAnswer } from './bodyCodec.js';
import { openCallWindow } from './callWindow.js';
import { RENEWAL_LIMIT } from './constants.js';
import { CallOutcome, OrderEvent, OrderState, SaveOutcome } from './enums.js';
import {
  createAnswerNotKeptError,
  createInProgressError,
  createNotStartedError,
  createPlatformError,
  createUnknownError,
} from './errors.js';
import { deriveScopedKey } from './orderName.js';
import { applyEvent, createRecord } from './orderRecord.js';

import type { AttemptId } from '@sardinegrade/common';
import type { CallWindow } from './callWindow.js';
import type { OrderSettler } from './orderSettler.js';
import type { RecordStore } from './recordStore.js';
import type {
  CallResult,
  OrderRecord,
  OrderResult,
  OrderServiceOptions,
  OrderSubmission,
  RecordedAnswer,
  SaveResult,
  ServiceAnswer,
  StoredOrder,
} from './types.js';

/** An order that has not been sent to its service yet. */
export interface PendingOrder {
  /** Name of its record. */
  readonly name: string;
  readonly submission: OrderSubmission;
  /** The current record: accepted, not run or, for a renewal, dispatching; undefined if there is none yet. */
  readonly base: StoredOrder | undefined;
}

/** Result of a dispatch; a conflict means that another daemon has changed the record. */
export type DispatchResult = OrderResult | { readonly conflict: StoredOrder | undefined };

/** Dispatches orders that have a slot of their service. */
export interface OrderRunner {
  readonly dispatchOrder: (order: PendingOrder) => Promise<DispatchResult>;
}

interface RunnerOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly settler: OrderSettler;
  /** Registers a task that may continue after the caller has been answered; shutdown waits for it. */
  readonly addTask: (task: Promise<unknown>) => void;
}

/** An attempt whose dispatch is recorded. */
interface Attempt {
  readonly order: PendingOrder;
  readonly window: CallWindow;
  readonly stored: StoredOrder;
  readonly renewalsLeft: number;
}

/** Creates the order runner of one daemon. */
export const createOrderRunner = (options: RunnerOptions): OrderRunner => {
  const { store, settler, clock, vm, timings, serviceClient, addTask } = options;

  const createAttemptId = (): AttemptId => options.newId() as AttemptId;

  const buildDispatchingRecord = (
    order: PendingOrder,
    event: OrderEvent,
  ): OrderRecord | undefined => {
    const initial = { owner: vm, attemptId: createAttemptId(), nowMs: clock.getNowMs() };
    const { base, submission } = order;
    if (base === undefined) {
      return createRecord(submission, { ...initial, state: OrderState.Dispatching });
    }
    const auditedEvent = { event, atMs: initial.nowMs, by: `vm:${vm}`, reason: 'dispatch' };
    const { owner, attemptId, nowMs } = initial;
    return applyEvent(base.record, auditedEvent, { owner, attemptId, dispatchedAtMs: nowMs });
  };

  /**
   * Writes the record of a dispatch. For an accepted order the write is retried without a time limit, because
   * other daemons may already have reported it as in progress.
   */
  const writeDispatchingRecord = (
    order: PendingOrder,
    record: OrderRecord,
  ): Promise<SaveResult> => {
    const isAccepted = order.base?.record.state === OrderState.Accepted;
    return store.writeRecord({
      name: order.name,
      ifVersion: order.base?.version ?? 0,
      record,
      giveUpAtMs: isAccepted ? Infinity : options.getMonotonicMs() + timings.acceptTimeoutMs,
    });
  };

  /** Waits until an outcome is recorded, for at most `recordWaitMs`, because the platform may be down. */
  const waitForRecord = async (
    task: Promise<StoredOrder | undefined>,
  ): Promise<StoredOrder | undefined> => {
    addTask(task);
    const timeout = options.sleep(timings.recordWaitMs).then(() => undefined);
    return Promise.race([task, timeout]);
  };

  const recordNotStarted = (
    stored: StoredOrder,
    reason: string,
  ): Promise<StoredOrder | undefined> =>
    waitForRecord(settler.settleAttempt(stored, { event: OrderEvent.NotStarted, reason }));

  /**
   * Responds "not run" only if the record confirms it: after a long suspension of this process, the record
   * may belong to another attempt.
   */
  const respondNotStarted = async (
    stored: StoredOrder,
    cause: unknown,
  ): Promise<DispatchResult> => {
    const settled = await recordNotStarted(stored, String(cause));
    if (settled === undefined) return { error: createInProgressError() };
    const isOwn = settled.record.attemptId === stored.record.attemptId;
    if (!isOwn || settled.record.state !== OrderState.NotRun) return { conflict: settled };
    return { error: createNotStartedError(cause) };
  };

  /**
   * Closes an attempt that did not call the service and whose record may or may not have been written. If
   * it was not, a "not run" record is written in its place, so that a delayed write can no longer take effect.
   */
  const closeUnsavedAttempt = async (order: PendingOrder, record: OrderRecord): Promise<void> => {
    const auditedEvent = {
      event: OrderEvent.NotStarted,
      atMs: clock.getNowMs(),
      by: `vm:${vm}`,
      reason: 'the write of the dispatch was lost',
    };
    const closed = applyEvent(record, auditedEvent);
    if (closed === undefined) return;
    const change = { name: order.name, ifVersion: order.base?.version ?? 0, record: closed };
    const result = await store.writeRecord({ ...change, giveUpAtMs: Infinity });
    if (result.outcome !== SaveOutcome.Conflict || result.current === undefined) return;
    const currentAttemptId = result.current.record.attemptId;
    const isOwn =
      currentAttemptId === record.attemptId || currentAttemptId === order.base?.record.attemptId;
    if (isOwn) await recordNotStarted(result.current, auditedEvent.reason);
  };

  const recordAnswer = (
    attempt: Attempt,
    answer: RecordedAnswer,
  ): Promise<StoredOrder | undefined> => {
    const settlement = { event: OrderEvent.Answered, reason: 'answer', patch: { answer } };
    return waitForRecord(settler.settleAttempt(attempt.stored, settlement));
  };

  const handleAnswer = async (attempt: Attempt, answer: ServiceAnswer): Promise<OrderResult> => {
    await recordAnswer(attempt, encodeAnswer(answer));
    return { answer, isReplay: false };
  };

  const handleTooLarge = async (attempt: Attempt, answer: RecordedAnswer): Promise<OrderResult> => {
    await recordAnswer(attempt, answer);
    return { error: createAnswerNotKeptError() };
  };

  const handleUnknown = async (attempt: Attempt, cause: unknown): Promise<OrderResult> => {
    const settlement = { event: OrderEvent.AnswerLost, reason: String(cause) };
    await waitForRecord(settler.settleAttempt(attempt.stored, settlement));
    return { error: createUnknownError() };
  };

  const renewAttempt = async (attempt: Attempt, cause: unknown): Promise<DispatchResult> => {
    const { order, stored, window, renewalsLeft } = attempt;
    if (renewalsLeft === 0 || window.canStart()) return respondNotStarted(stored, cause);
    const renewed = await startAttempt(
      { ...order, base: stored },
      OrderEvent.Renew,
      renewalsLeft - 1,
    );
    if (!('conflict' in renewed)) return renewed;
    // Another daemon has settled this attempt, but this one has not called the service for it.
    if (renewed.conflict?.record.attemptId !== stored.record.attemptId) return renewed;
    return respondNotStarted(renewed.conflict, cause);
  };

  const handleCallResult = (attempt: Attempt, result: CallResult): Promise<DispatchResult> => {
    switch (result.outcome) {
      case CallOutcome.Answered:
        return handleAnswer(attempt, result.answer);
      case CallOutcome.TooLarge:
        return handleTooLarge(attempt, { status: result.status, headers: {}, bytes: result.bytes });
      case CallOutcome.Unknown:
        return handleUnknown(attempt, result.cause);
      case CallOutcome.NotStarted:
        return renewAttempt(attempt, result.cause);
    }
  };

  const callService = async (attempt: Attempt): Promise<DispatchResult> => {
    const { submission } = attempt.order;
    if (!attempt.window.canStart()) return renewAttempt(attempt, 'call window passed');
    const result = await serviceClient.callService({
      service: submission.service,
      request: submission.request,
      scopedKey: deriveScopedKey(submission.workspace, submission.key),
      attemptId: attempt.stored.record.attemptId,
      requestId: submission.requestId,
      traceparent: submission.traceparent,
      timeoutMs: timings.callTimeoutMs,
      canStart: attempt.window.canStart,
    });
    return handleCallResult(attempt, result);
  };

  /** Only this daemon could call the service for this attempt, and it will not, so the order has not run. */
  const handleUnsavedDispatch = (
    order: PendingOrder,
    record: OrderRecord,
    result: SaveResult,
  ): OrderResult => {
    const isRenewal = order.base?.record.state === OrderState.Dispatching;
    if (isRenewal || result.outcome === SaveOutcome.Uncertain)
      addTask(closeUnsavedAttempt(order, record));
    const cause = 'cause' in result ? result.cause : undefined;
    return { error: createPlatformError(RunState.NotRun, cause) };
  };

  const startAttempt = async (
    order: PendingOrder,
    event: OrderEvent,
    renewalsLeft: number,
  ): Promise<DispatchResult> => {
    const window = openCallWindow(options);
    const record = buildDispatchingRecord(order, event);
    if (record === undefined) return { conflict: order.base };
    const result = await writeDispatchingRecord(order, record);
    if (result.outcome === SaveOutcome.Saved) {
      return callService({ order, window, stored: result.stored, renewalsLeft });
    }
    if (result.outcome !== SaveOutcome.Conflict)
      return handleUnsavedDispatch(order, record, result);
    if (result.current?.record.attemptId !== record.attemptId) return { conflict: result.current };
    return respondNotStarted(result.current, 'settled before it was called');
  };

  const dispatchOrder = (order: PendingOrder): Promise<DispatchResult> =>
    startAttempt(order, OrderEvent.Dispatch, RENEWAL_LIMIT);

  return { dispatchOrder };
};

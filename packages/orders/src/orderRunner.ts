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

/** An order on its way to the service. */
export interface OrderWork {
  readonly name: string;
  readonly submission: OrderSubmission;
  /** The record that it starts from: accepted, not run, or none yet. */
  readonly base: StoredOrder | undefined;
}

/** What a dispatch comes to; a conflict means that another daemon has moved the record. */
export type DispatchResult = OrderResult | { readonly conflict: StoredOrder | undefined };

/** Dispatches orders that have a place in their service. */
export interface OrderRunner {
  readonly dispatchOrder: (work: OrderWork) => Promise<DispatchResult>;
}

interface RunnerOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly settler: OrderSettler;
  /** Keeps a task in view that goes on after its caller was answered. */
  readonly keepTask: (task: Promise<unknown>) => void;
}

interface Attempt {
  readonly work: OrderWork;
  readonly window: CallWindow;
  readonly stored: StoredOrder;
  readonly renewalsLeft: number;
}

/** Creates the runner of one daemon. */
export const createOrderRunner = (options: RunnerOptions): OrderRunner => {
  const { store, settler, clock, vm, timings, caller, keepTask } = options;

  const createAttemptId = (): AttemptId => options.newId() as AttemptId;

  const buildDispatching = (work: OrderWork, event: OrderEvent): OrderRecord | undefined => {
    const start = { owner: vm, attemptId: createAttemptId(), nowMs: clock.getNowMs() };
    const { base, submission } = work;
    if (base === undefined) {
      return createRecord(submission, { ...start, state: OrderState.Dispatching });
    }
    const note = { event, atMs: start.nowMs, by: `vm:${vm}`, reason: 'dispatch' };
    const { owner, attemptId, nowMs } = start;
    return applyEvent(base.record, note, { owner, attemptId, dispatchedAtMs: nowMs });
  };

  /** An accepted order is dispatched however long that takes: others may have been told of it. */
  const writeDispatching = (work: OrderWork, record: OrderRecord): Promise<SaveResult> => {
    const isAccepted = work.base?.record.state === OrderState.Accepted;
    return store.writeRecord({
      name: work.name,
      ifVersion: work.base?.version ?? 0,
      record,
      giveUpAtMs: isAccepted ? Infinity : options.getMonotonicMs() + timings.acceptTimeoutMs,
    });
  };

  /** Waits for the record of an outcome, but not for long: the platform may be down. */
  const waitForRecord = async (
    task: Promise<StoredOrder | undefined>,
  ): Promise<StoredOrder | undefined> => {
    keepTask(task);
    const timeout = options.sleep(timings.recordWaitMs).then(() => undefined);
    return Promise.race([task, timeout]);
  };

  const recordNotStarted = (
    stored: StoredOrder,
    reason: string,
  ): Promise<StoredOrder | undefined> =>
    waitForRecord(settler.settleAttempt(stored, { event: OrderEvent.NotStarted, reason }));

  /** Says "not run" only where the record says so too: after a long pause it may tell of another attempt. */
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
   * Closes an attempt that was not called and whose record may or may not stand: where it does not, a
   * record that says so takes its place, and a delayed write can no longer take effect.
   */
  const closeUnsaved = async (work: OrderWork, record: OrderRecord): Promise<void> => {
    const note = {
      event: OrderEvent.NotStarted,
      atMs: clock.getNowMs(),
      by: `vm:${vm}`,
      reason: 'the write of the dispatch was lost',
    };
    const closed = applyEvent(record, note);
    if (closed === undefined) return;
    const change = { name: work.name, ifVersion: work.base?.version ?? 0, record: closed };
    const result = await store.writeRecord({ ...change, giveUpAtMs: Infinity });
    if (result.outcome !== SaveOutcome.Conflict || result.current === undefined) return;
    const standing = result.current.record.attemptId;
    const isOwn = standing === record.attemptId || standing === work.base?.record.attemptId;
    if (isOwn) await recordNotStarted(result.current, note.reason);
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
    const { work, stored, window, renewalsLeft } = attempt;
    if (renewalsLeft === 0 || window.canStart()) return respondNotStarted(stored, cause);
    const renewed = await startAttempt(
      { ...work, base: stored },
      OrderEvent.Renew,
      renewalsLeft - 1,
    );
    if (!('conflict' in renewed)) return renewed;
    // Someone has counted this daemon out; it knows that the service was not called.
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
    const { submission } = attempt.work;
    if (!attempt.window.canStart()) return renewAttempt(attempt, 'call window passed');
    const result = await caller.callService({
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

  /** Nobody but this daemon would call the service for this attempt, so the order is not run. */
  const handleUnsaved = (work: OrderWork, record: OrderRecord, result: SaveResult): OrderResult => {
    const isRenewal = work.base?.record.state === OrderState.Dispatching;
    if (isRenewal || result.outcome === SaveOutcome.Uncertain) keepTask(closeUnsaved(work, record));
    const cause = 'cause' in result ? result.cause : undefined;
    return { error: createPlatformError(RunState.NotRun, cause) };
  };

  const startAttempt = async (
    work: OrderWork,
    event: OrderEvent,
    renewalsLeft: number,
  ): Promise<DispatchResult> => {
    const window = openCallWindow(options);
    const record = buildDispatching(work, event);
    if (record === undefined) return { conflict: work.base };
    const result = await writeDispatching(work, record);
    if (result.outcome === SaveOutcome.Saved) {
      return callService({ work, window, stored: result.stored, renewalsLeft });
    }
    if (result.outcome !== SaveOutcome.Conflict) return handleUnsaved(work, record, result);
    if (result.current?.record.attemptId !== record.attemptId) return { conflict: result.current };
    return respondNotStarted(result.current, 'settled before it was called');
  };

  const dispatchOrder = (work: OrderWork): Promise<DispatchResult> =>
    startAttempt(work, OrderEvent.Dispatch, RENEWAL_LIMIT);

  return { dispatchOrder };
};

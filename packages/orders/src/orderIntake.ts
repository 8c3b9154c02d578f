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
import { createServicePlaces } from './servicePlaces.js';

import type { AttemptId } from '@sardinegrade/common';
import type { Observations } from './observations.js';
import type { OpenOrderLists } from './openOrderList.js';
import type { OrderRunner, OrderWork } from './orderRunner.js';
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

/** Takes orders in: new ones, resends and those that another daemon left behind. */
export interface OrderIntake {
  readonly submitOrder: (submission: OrderSubmission) => Promise<OrderResult>;
  /** Runs an accepted order that its daemon left behind. */
  readonly takeOver: (
    stored: StoredOrder,
    submission: Omit<OrderSubmission, 'concurrency'>,
  ) => Promise<OrderResult>;
  /** Whether an accepted record stands for longer than its daemon would leave it. */
  readonly isAbandoned: (stored: StoredOrder) => boolean;
  /** Whether this daemon has the order under way. */
  readonly isOpen: (name: string) => boolean;
  /** Refuses new orders from now on. */
  readonly close: () => void;
}

interface IntakeOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly settler: OrderSettler;
  readonly runner: OrderRunner;
  readonly observations: Observations;
  readonly openLists: OpenOrderLists;
  readonly tasks: TaskSet;
}

interface OpenOrder {
  readonly fingerprint: string;
  readonly result: Promise<OrderResult>;
}

/** How often an order starts anew because others moved its record meanwhile. */
const CONFLICT_LIMIT = 4;

/** Whether an order was refused before it was run, other than for its body. */
const isNotStarted = (result: OrderResult): boolean =>
  'error' in result &&
  result.error.run === RunState.NotRun &&
  result.error.code !== ResultCode.OrderBodyMismatch;

/** Creates the intake of one daemon. */
export const createOrderIntake = (options: IntakeOptions): OrderIntake => {
  const {
    store,
    settler,
    runner,
    observations,
    openLists,
    tasks,
    clock,
    vm,
    timings,
    writeBudget,
  } = options;
  const open = new Map<string, OpenOrder>();
  const places = createServicePlaces();
  let isClosed = false;

  const isAbandoned = ({ name, version, record }: StoredOrder): boolean =>
    options.isVmGone(record.owner) ||
    observations.measureAgeMs(`${name}:${version}`) >= timings.takeOverAfterMs;

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

  const respondOrphan = async (stored: StoredOrder, work: OrderWork, conflictsLeft: number) => {
    const settled = await settler.settleOrphan(stored);
    if (settled === undefined) return { error: createInProgressError() };
    if (settled.record.state === OrderState.Unknown) return { error: createUnknownError() };
    return respondExisting(settled, work, conflictsLeft - 1);
  };

  const respondDispatching = (stored: StoredOrder, work: OrderWork, conflictsLeft: number) => {
    if (!settler.isOrphaned(stored.record)) return { error: createInProgressError() };
    return respondOrphan(stored, work, conflictsLeft);
  };

  const retryWork = (stored: StoredOrder, work: OrderWork, conflictsLeft: number) =>
    startWork({ ...work, base: stored }, conflictsLeft - 1);

  const respondAccepted = (stored: StoredOrder, work: OrderWork, conflictsLeft: number) => {
    if (!isAbandoned(stored)) return { error: createInProgressError() };
    return retryWork(stored, work, conflictsLeft);
  };

  /** What a caller gets for an order that already has a record, by the record's state. */
  const EXISTING: Readonly<
    Record<
      OrderState,
      (stored: StoredOrder, work: OrderWork, left: number) => OrderResult | Promise<OrderResult>
    >
  > = {
    [OrderState.Accepted]: respondAccepted,
    [OrderState.Dispatching]: respondDispatching,
    [OrderState.Done]: ({ record }) => respondDone(record),
    [OrderState.Unknown]: respondOrphan,
    [OrderState.NotRun]: retryWork,
  };

  const respondExisting = async (
    stored: StoredOrder | undefined,
    work: OrderWork,
    conflictsLeft: number,
  ): Promise<OrderResult> => {
    if (conflictsLeft <= 0) return { error: createInProgressError() };
    if (stored === undefined) {
      // Gone meanwhile, or no record at all: reading it throws then.
      const current = await store.read(work.name);
      return startWork({ ...work, base: current }, conflictsLeft - 1);
    }
    const isSame = stored.record.fingerprint === hashRequest(work.submission.request);
    if (!isSame) return { error: createMismatchError() };
    return EXISTING[stored.record.state](stored, work, conflictsLeft);
  };

  const dispatchWork = async (work: OrderWork, conflictsLeft: number): Promise<OrderResult> => {
    const { name } = work.submission.service;
    let result;
    try {
      result = await runner.dispatchOrder(work);
    } finally {
      places.release(name);
    }
    if ('conflict' in result) return respondExisting(result.conflict, work, conflictsLeft);
    return result;
  };

  const cancelWaiting = async (work: OrderWork, stored: StoredOrder): Promise<OrderResult> => {
    const note = {
      event: OrderEvent.Withdraw,
      atMs: clock.getNowMs(),
      by: `vm:${vm}`,
      reason: 'deadline passed while waiting for a place',
    };
    const record = applyEvent(stored.record, note);
    if (record === undefined) return { error: createInProgressError() };
    const giveUpAtMs = options.getMonotonicMs() + timings.acceptTimeoutMs;
    const change = { name: work.name, ifVersion: stored.version, record, giveUpAtMs };
    const result = await store.writeRecord(change);
    if (result.outcome === SaveOutcome.Saved) return { error: createDeadlineError() };
    return { error: createInProgressError() };
  };

  const waitForPlace = async (
    work: OrderWork,
    stored: StoredOrder,
    conflictsLeft: number,
  ): Promise<OrderResult> => {
    const { service, concurrency, deadlineAtMs } = work.submission;
    const hasPlace = await places.wait(service.name, concurrency, waitUntil(deadlineAtMs));
    if (!hasPlace) return cancelWaiting(work, stored);
    return dispatchWork({ ...work, base: stored }, conflictsLeft);
  };

  const buildAccepted = (work: OrderWork): OrderRecord | undefined => {
    const { base, submission } = work;
    const nowMs = clock.getNowMs();
    const attemptId = options.newId() as AttemptId;
    if (base === undefined) {
      return createRecord(submission, { state: OrderState.Accepted, owner: vm, attemptId, nowMs });
    }
    const note = {
      event: OrderEvent.Accept,
      atMs: nowMs,
      by: `vm:${vm}`,
      reason: 'wait for a place',
    };
    const request = encodeRequest(submission.request);
    return applyEvent(base.record, note, { owner: vm, attemptId, request });
  };

  /** Records an order that has to wait, so that another daemon can take it over. */
  const acceptWork = async (work: OrderWork, conflictsLeft: number): Promise<OrderResult> => {
    const { service } = work.submission;
    if (places.countWaiting(service.name) >= WAITING_LIMIT)
      return { error: createQueueFullError() };
    const record = buildAccepted(work);
    if (record === undefined) return { error: createInProgressError() };
    const giveUpAtMs = options.getMonotonicMs() + timings.acceptTimeoutMs;
    const ifVersion = work.base?.version ?? 0;
    const result = await store.writeRecord({ name: work.name, ifVersion, record, giveUpAtMs });
    switch (result.outcome) {
      case SaveOutcome.Saved:
        return waitForPlace(work, result.stored, conflictsLeft);
      case SaveOutcome.Conflict:
        return respondExisting(result.current, work, conflictsLeft);
      case SaveOutcome.NotSaved:
        return { error: createPlatformError(RunState.NotRun, result.cause) };
      case SaveOutcome.Uncertain:
        // The record may stand and be taken over.
        return { error: createPlatformError(RunState.Unknown, result.cause) };
    }
  };

  const startWork = (work: OrderWork, conflictsLeft: number): Promise<OrderResult> => {
    const { service, concurrency } = work.submission;
    if (places.acquire(service.name, concurrency)) return dispatchWork(work, conflictsLeft);
    return acceptWork(work, conflictsLeft);
  };

  /** Without a write to spare, what was recorded before is still answered. */
  const respondWithoutWrites = async (work: OrderWork): Promise<OrderResult> => {
    const refusal = createWriteBudgetError(writeBudget.estimateWaitMs(WRITES_PER_ORDER));
    const stored = await store.read(work.name).catch(() => undefined);
    if (stored === undefined || stored.record.state === OrderState.NotRun)
      return { error: refusal };
    if (stored.record.state === OrderState.Accepted) return { error: createInProgressError() };
    return respondExisting(stored, work, 1);
  };

  const admitWork = async (work: OrderWork): Promise<OrderResult> => {
    try {
      if (!writeBudget.acquire(WRITES_PER_ORDER)) return await respondWithoutWrites(work);
      const result = await startWork(work, CONFLICT_LIMIT);
      // A replay needs the first write only, which met the record.
      if ('answer' in result && result.isReplay) writeBudget.release(WRITES_PER_ORDER - 1);
      return result;
    } catch (error) {
      return { error: toSardinegradeError(error, RunState.Unknown) };
    }
  };

  const openOrder = (work: OrderWork, run: () => Promise<OrderResult>): Promise<OrderResult> => {
    const fingerprint = hashRequest(work.submission.request);
    openLists.add(work.name);
    const result = run().finally(() => {
      open.delete(work.name);
      openLists.remove(work.name);
    });
    open.set(work.name, { fingerprint, result });
    tasks.keepTask(result);
    return result;
  };

  const joinOpen = (work: OrderWork): Promise<OrderResult> | undefined => {
    const existing = open.get(work.name);
    if (existing === undefined) return undefined;
    const isSame = existing.fingerprint === hashRequest(work.submission.request);
    return isSame ? existing.result : Promise.resolve({ error: createMismatchError() });
  };

  const startSubmission = async (work: OrderWork): Promise<OrderResult> => {
    const joined = await joinOpen(work);
    // What was not run before this request arrived may have been run since, or can be now.
    if (joined !== undefined && !isNotStarted(joined)) return joined;
    // One opened meanwhile is later than this request.
    const later = joinOpen(work);
    if (later !== undefined) return later;
    if (isClosed) return { error: createShutdownError() };
    return openOrder(work, () => admitWork(work));
  };

  const submitOrder = (submission: OrderSubmission): Promise<OrderResult> => {
    const { workspace, service, key, deadlineAtMs } = submission;
    const name = deriveOrderName(workspace, service.name, key);
    const result = startSubmission({ name, submission, base: undefined });
    const late = waitUntil(deadlineAtMs).then(() => ({ error: createInProgressError() }));
    return Promise.race([result, late]);
  };

  const takeOver: OrderIntake['takeOver'] = (stored, submission) => {
    const concurrency = places.getLimit(submission.service.name);
    const work = { name: stored.name, submission: { ...submission, concurrency }, base: stored };
    return joinOpen(work) ?? openOrder(work, () => startWork(work, CONFLICT_LIMIT));
  };

  const close = () => {
    isClosed = true;
  };

  return { submitOrder, takeOver, isAbandoned, isOpen: (name) => open.has(name), close };
};

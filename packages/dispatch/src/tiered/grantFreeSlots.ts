import { ResultCode } from '@sardinegrade/common';

import { PreemptionMode } from '../enums.js';
import { hasCapacity } from '../engines/index.js';
import { hasPendingRequests } from './classes.js';
import { estimateRetryAfterMs } from './overload.js';
import { isRetryBlocked, isUsable, pickEngine } from './engineSelection.js';
import { findMostCreditedClass } from './shares.js';
import {
  grantRecord,
  isUnderSuspicion,
  markGuaranteed,
  preemptRecord,
  refuseRecord,
} from './records.js';

import type { RequestRecord, ClassState, TieredState } from './types.js';

/** Maximum number of constrained requests of a class that are tried for one slot. */
const MAX_CONSTRAINED_TRIES = 32;

const hasFreeEngine = (state: TieredState, classState: ClassState, nowMs: number): boolean =>
  state.engines.some(
    (engine) =>
      engine.pool === classState.pool && hasCapacity(engine, nowMs) && isUsable(state, engine),
  );

const resumePaused = (
  state: TieredState,
  classState: ClassState,
  nowMs: number,
): RequestRecord | undefined => {
  for (const record of classState.paused) {
    const { engine, ask } = record;
    if (ask.deadlineAtMs <= nowMs) continue;
    if (engine === undefined || !hasCapacity(engine, nowMs) || !isUsable(state, engine)) continue;
    preemptRecord(state, record, PreemptionMode.Resume, nowMs);
    return record;
  }
  return undefined;
};

const grantConstrained = (
  state: TieredState,
  classState: ClassState,
  nowMs: number,
): RequestRecord | undefined => {
  let tryCount = 0;
  for (const record of classState.constrained) {
    tryCount += 1;
    if (tryCount > MAX_CONSTRAINED_TRIES) return undefined;
    if (record.ask.deadlineAtMs <= nowMs || isRetryBlocked(state, record, nowMs)) continue;
    const engine = pickEngine(state, record, nowMs);
    if (engine === undefined) continue;
    grantRecord(state, record, engine, nowMs);
    return record;
  }
  return undefined;
};

/**
 * Finds the next waiting request of a class. Requests whose deadline has passed are refused, and those that became
 * suspects since they were queued are moved to the constrained ones.
 *
 * @param state - dispatcher state, modified in place
 * @param classState - the class
 * @param nowMs - current time, in milliseconds
 * @returns a request that any engine of the pool may run, or undefined if there is none
 */
export const findNextRequest = (
  state: TieredState,
  classState: ClassState,
  nowMs: number,
): RequestRecord | undefined => {
  for (;;) {
    const record = classState.queue.peekNext();
    if (record === undefined) return undefined;
    if (record.ask.deadlineAtMs <= nowMs) {
      const retryAfterMs = estimateRetryAfterMs(state, classState, nowMs);
      refuseRecord(state, record, ResultCode.DeadlineBeforeStart, retryAfterMs, nowMs);
      continue;
    }
    if (!isUnderSuspicion(state, record)) return record;
    classState.queue.remove(record);
    classState.constrained.add(record);
  }
};

const grantNext = (
  state: TieredState,
  classState: ClassState,
  nowMs: number,
): RequestRecord | undefined => {
  const record = findNextRequest(state, classState, nowMs);
  const engine = record === undefined ? undefined : pickEngine(state, record, nowMs);
  if (record === undefined || engine === undefined) return undefined;
  grantRecord(state, record, engine, nowMs);
  return record;
};

/** Grants one slot to a class: to a paused request, else a constrained request, else the next waiting one. */
const grantSlotToClass = (
  state: TieredState,
  classState: ClassState,
  nowMs: number,
): RequestRecord | undefined => {
  if (!hasPendingRequests(classState) || !hasFreeEngine(state, classState, nowMs)) return undefined;
  return (
    resumePaused(state, classState, nowMs) ??
    grantConstrained(state, classState, nowMs) ??
    grantNext(state, classState, nowMs)
  );
};

const grantOneSlot = (state: TieredState, nowMs: number): boolean => {
  const mostCredited = findMostCreditedClass(state);
  if (mostCredited !== undefined) {
    const record = grantSlotToClass(state, mostCredited, nowMs);
    if (record !== undefined) {
      markGuaranteed(record);
      return true;
    }
  }
  return state.classes.some(
    (classState) => grantSlotToClass(state, classState, nowMs) !== undefined,
  );
};

/**
 * Grants all free slots: first to the class with the most credit from its guaranteed share, then by tier and priority.
 *
 * @param state - dispatcher state, modified in place
 * @param nowMs - current time, in milliseconds
 */
export const grantFreeSlots = (state: TieredState, nowMs: number): void => {
  const hasFreeSlot = () => state.engines.some((engine) => hasCapacity(engine, nowMs));
  while (hasFreeSlot() && grantOneSlot(state, nowMs));
};

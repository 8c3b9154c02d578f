import { ResultCode } from '@sardinegrade/common';

import { PreemptionMode } from '../enums.js';
import { hasRoom } from '../engines/index.js';
import { hasWork } from './classes.js';
import { estimateRetryAfterMs } from './overload.js';
import { isHeldBack, isUsable, pickEngine } from './place.js';
import { findMostOwed } from './shares.js';
import {
  grantRecord,
  isUnderSuspicion,
  markGuaranteed,
  preemptRecord,
  refuseRecord,
} from './records.js';

import type { AskRecord, ClassState, TieredState } from './types.js';

/** Constrained asks that are tried in one go. */
const CONSTRAINED_TRIES = 32;

const canServe = (state: TieredState, owner: ClassState, nowMs: number): boolean =>
  state.engines.some(
    (engine) => engine.pool === owner.pool && hasRoom(engine, nowMs) && isUsable(state, engine),
  );

const resumePaused = (
  state: TieredState,
  owner: ClassState,
  nowMs: number,
): AskRecord | undefined => {
  for (const record of owner.paused) {
    const { engine, ask } = record;
    if (ask.deadlineAtMs <= nowMs) continue;
    if (engine === undefined || !hasRoom(engine, nowMs) || !isUsable(state, engine)) continue;
    preemptRecord(state, record, PreemptionMode.Resume, nowMs);
    return record;
  }
  return undefined;
};

const grantConstrained = (
  state: TieredState,
  owner: ClassState,
  nowMs: number,
): AskRecord | undefined => {
  let tries = 0;
  for (const record of owner.constrained) {
    tries += 1;
    if (tries > CONSTRAINED_TRIES) return undefined;
    if (record.ask.deadlineAtMs <= nowMs || isHeldBack(state, record, nowMs)) continue;
    const engine = pickEngine(state, record, nowMs);
    if (engine === undefined) continue;
    grantRecord(state, record, engine, nowMs);
    return record;
  }
  return undefined;
};

/**
 * Finds the ask of a class whose turn it is, and sorts out those that turned suspect or too late meanwhile.
 *
 * @param state - the dispatcher's state
 * @param owner - the class
 * @param nowMs - the present
 * @returns an ask that any engine of the pool may serve
 */
export const findNext = (
  state: TieredState,
  owner: ClassState,
  nowMs: number,
): AskRecord | undefined => {
  for (;;) {
    const record = owner.queue.peekNext();
    if (record === undefined) return undefined;
    if (record.ask.deadlineAtMs <= nowMs) {
      const retryAfterMs = estimateRetryAfterMs(state, owner, nowMs);
      refuseRecord(state, record, ResultCode.DeadlineBeforeStart, retryAfterMs, nowMs);
      continue;
    }
    if (!isUnderSuspicion(state, record)) return record;
    owner.queue.remove(record);
    owner.constrained.add(record);
  }
};

const grantNext = (state: TieredState, owner: ClassState, nowMs: number): AskRecord | undefined => {
  const record = findNext(state, owner, nowMs);
  const engine = record === undefined ? undefined : pickEngine(state, record, nowMs);
  if (record === undefined || engine === undefined) return undefined;
  grantRecord(state, record, engine, nowMs);
  return record;
};

/** Gives one place to a class: to a paused request of its own, a constrained ask or the next in turn. */
const serveClass = (
  state: TieredState,
  owner: ClassState,
  nowMs: number,
): AskRecord | undefined => {
  if (!hasWork(owner) || !canServe(state, owner, nowMs)) return undefined;
  return (
    resumePaused(state, owner, nowMs) ??
    grantConstrained(state, owner, nowMs) ??
    grantNext(state, owner, nowMs)
  );
};

const serveOne = (state: TieredState, nowMs: number): boolean => {
  const mostOwed = findMostOwed(state);
  if (mostOwed !== undefined) {
    const record = serveClass(state, mostOwed, nowMs);
    if (record !== undefined) {
      markGuaranteed(record);
      return true;
    }
  }
  return state.classes.some((owner) => serveClass(state, owner, nowMs) !== undefined);
};

/**
 * Gives all free places away: first to the class that its guaranteed share owes most, then by tier and priority.
 *
 * @param state - the dispatcher's state
 * @param nowMs - the present
 */
export const grantRoom = (state: TieredState, nowMs: number): void => {
  const hasAnyRoom = () => state.engines.some((engine) => hasRoom(engine, nowMs));
  while (hasAnyRoom() && serveOne(state, nowMs));
};

import { PreemptionMode } from '../enums.js';
import { countWaiting } from './classes.js';
import { computePoolCapacity } from './overload.js';
import { canRunOn, isRetryBlocked, pickEngine } from './engineSelection.js';
import { computePromptCost, grantRecord, isUnderSuspicion, preemptRecord } from './records.js';
import { findNextRequest } from './grantFreeSlots.js';

import type { RequestRecord, ClassState, TieredEngine, TieredState } from './types.js';

/** Share of an engine's cache in use from which requests are cancelled instead of paused. */
const CACHE_FULL_SHARE = 0.9;

/**
 * A paying request preempts a non-paying one if its wait so far plus the estimated further wait exceeds this share of
 * its first-token target.
 */
const MAX_WAIT_SHARE = 0.25;

/** Maximum number of waiting requests per class that one event may grant by preemption. */
const MAX_URGENT_GRANTS = 64;

/** Which running requests may be preempted, besides unguaranteed non-paying ones of a lower tier. */
export interface VictimBounds {
  /** Also paying requests of a lower tier. */
  readonly paying: boolean;
  /** Also requests that the guaranteed share of their class protects. */
  readonly guaranteed: boolean;
}

const NON_PAYING_UNGUARANTEED: VictimBounds = { paying: false, guaranteed: false };

const computeWorkDone = (record: RequestRecord): number =>
  record.tokens + computePromptCost(record.ask.promptTokens);

const listVictimClasses = (
  state: TieredState,
  classState: ClassState,
  canPreemptPaying: boolean,
): readonly ClassState[] =>
  [...state.classByKey.values()]
    .filter((other) => other.running.size > 0 && other.tierRank > classState.tierRank)
    .filter((other) => canPreemptPaying || !other.isPaying)
    .sort((left, right) => right.tierRank - left.tierRank);

/**
 * Finds the running request that a waiting one should preempt: of the lowest tier first, then the one with the
 * least work done.
 *
 * @param state - dispatcher state
 * @param record - the waiting request that needs a slot
 * @param bounds - which requests may be preempted
 * @returns the request, or undefined if none may be preempted
 */
export const findVictim = (
  state: TieredState,
  record: RequestRecord,
  bounds: VictimBounds,
): RequestRecord | undefined => {
  const hasSuspicion = isUnderSuspicion(state, record);
  let best: RequestRecord | undefined;
  // A suspect may crash its engine, so it must not preempt paying requests.
  const canPreemptPaying = bounds.paying && !hasSuspicion;
  for (const other of listVictimClasses(state, record.classState, canPreemptPaying)) {
    if (best !== undefined && best.classState.tierRank > other.tierRank) break;
    for (const running of other.running) {
      if (best !== undefined && computeWorkDone(running) >= computeWorkDone(best)) continue;
      if (!bounds.guaranteed && running.isGuaranteed) continue;
      if (running.engine === undefined || !canRunOn(state, record, running.engine, hasSuspicion))
        continue;
      best = running;
    }
  }
  return best;
};

const pickPreemptionMode = (state: TieredState, engine: TieredEngine): PreemptionMode => {
  if (state.tuning.preemption === PreemptionMode.Cancel) return PreemptionMode.Cancel;
  const isFull = engine.paused.size >= engine.slots || engine.cacheUse >= CACHE_FULL_SHARE;
  return isFull ? PreemptionMode.Cancel : PreemptionMode.Pause;
};

/**
 * Preempts requests until an engine has a free slot. One preemption may not be enough: after a fail-over, an engine can
 * have more grants than slots.
 */
const preemptUntilFree = (
  state: TieredState,
  record: RequestRecord,
  bounds: VictimBounds,
  nowMs: number,
): TieredEngine | undefined => {
  for (;;) {
    const victim = findVictim(state, record, bounds);
    if (victim?.engine === undefined) return undefined;
    const { engine } = victim;
    preemptRecord(state, victim, pickPreemptionMode(state, engine), nowMs);
    if (engine.running.size < engine.slots) return engine;
  }
};

/**
 * Grants a slot to a waiting request: a free one, or that of a preempted request of a lower tier.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the waiting request
 * @param bounds - which requests may be preempted
 * @param nowMs - current time, in milliseconds
 * @returns whether the request was granted
 */
export const grantOrPreempt = (
  state: TieredState,
  record: RequestRecord,
  bounds: VictimBounds,
  nowMs: number,
): boolean => {
  if (isRetryBlocked(state, record, nowMs)) return false;
  const free = pickEngine(state, record, nowMs);
  if (free !== undefined) {
    grantRecord(state, record, free, nowMs);
    return true;
  }
  if (state.tuning.preemption === undefined) return false;
  const engine = preemptUntilFree(state, record, bounds, nowMs);
  if (engine === undefined) return false;
  grantRecord(state, record, engine, nowMs);
  return true;
};

/** Estimates how long the next request of a class waits for a slot without preemption. */
const estimateSlotWaitMs = (state: TieredState, classState: ClassState): number => {
  const holdMs = state.holdMs.value;
  if (holdMs === undefined) return Infinity;
  let requestsAhead = 1;
  for (const other of state.classes) {
    if (other === classState) break;
    if (other.pool === classState.pool) requestsAhead += countWaiting(other);
  }
  return (requestsAhead * holdMs) / Math.max(1, computePoolCapacity(state, classState));
};

const isUrgent = (
  state: TieredState,
  classState: ClassState,
  record: RequestRecord,
  nowMs: number,
): boolean => {
  const waitedMs = nowMs - record.ask.arrivedAtMs;
  const allowedMs = MAX_WAIT_SHARE * classState.definition.firstTokenTargetMs;
  return waitedMs + estimateSlotWaitMs(state, classState) > allowedMs;
};

const hasVictims = (state: TieredState): boolean => {
  for (const classState of state.classByKey.values()) {
    if (!classState.isPaying && classState.running.size > classState.guaranteedCount) return true;
  }
  return false;
};

const grantUrgent = (state: TieredState, classState: ClassState, nowMs: number): void => {
  for (const record of [...classState.constrained]) {
    if (isUrgent(state, classState, record, nowMs))
      grantOrPreempt(state, record, NON_PAYING_UNGUARANTEED, nowMs);
  }
  for (let count = 0; count < MAX_URGENT_GRANTS && hasVictims(state); count += 1) {
    const record = findNextRequest(state, classState, nowMs);
    if (record === undefined || !isUrgent(state, classState, record, nowMs)) return;
    if (!grantOrPreempt(state, record, NON_PAYING_UNGUARANTEED, nowMs)) return;
  }
};

/**
 * Grants paying requests that have waited, or are expected to wait, longer than MAX_WAIT_SHARE of their first-token
 * target, if necessary by preempting non-paying requests that are not protected by a guaranteed share.
 *
 * @param state - dispatcher state, modified in place
 * @param nowMs - current time, in milliseconds
 */
export const preemptForUrgent = (state: TieredState, nowMs: number): void => {
  if (state.tuning.preemption === undefined) return;
  for (const classState of state.classes) {
    if (!hasVictims(state)) return;
    if (classState.isPaying && countWaiting(classState) > 0) grantUrgent(state, classState, nowMs);
  }
};

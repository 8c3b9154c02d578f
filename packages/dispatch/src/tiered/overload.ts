import { ResultCode } from '@sardinegrade/common';

import { computeLimit } from '../engines/index.js';
import { countWaiting, getGuaranteedShare } from './classes.js';
import { isUsable } from './engineSelection.js';
import { refuseRecord } from './records.js';

import type { RequestRecord, ClassState, TieredState } from './types.js';

const MIN_RETRY_AFTER_MS = 250;

/** Random extra delay, as a share of the delay, so that refused callers do not all retry at the same time. */
const RETRY_AFTER_JITTER = 0.25;

/** Share of the estimated wait after which a refused caller may retry: this share of the queue has drained then. */
const RETRY_AFTER_DRAINED_SHARE = 0.25;

/** Paying requests are refused early only if the estimated wait is this many times longer than the time left. */
const PAYING_WAIT_TOLERANCE = 1.5;

/** Maximum number of requests of a class that one check refuses. */
const MAX_REFUSALS_PER_CHECK = 64;

/**
 * Computes how many requests the pool of a class can run at the same time.
 *
 * @param state - dispatcher state
 * @param classState - the class
 * @returns the sum of the limits of the usable engines
 */
export const computePoolCapacity = (state: TieredState, classState: ClassState): number => {
  const cachedCapacity = state.capacityByPool.get(classState.pool);
  if (cachedCapacity !== undefined) return cachedCapacity;
  let capacity = 0;
  for (const engine of state.engines) {
    if (engine.pool === classState.pool && isUsable(state, engine))
      capacity += computeLimit(engine);
  }
  state.capacityByPool.set(classState.pool, capacity);
  return capacity;
};

const getHoldMs = (state: TieredState, classState: ClassState): number =>
  classState.holdMs.value ?? state.holdMs.value ?? 0;

const computeQueuedWorkMs = (state: TieredState, classState: ClassState): number =>
  (countWaiting(classState) + classState.paused.size) * getHoldMs(state, classState);

/**
 * Estimates how long the last request in a class's queue will wait: until all requests that are served earlier have
 * run, or until the guaranteed share has served the queue of the class, whichever is sooner.
 *
 * @param state - dispatcher state
 * @param classState - the class
 * @returns milliseconds; 0 until the first request has finished, since the time that requests run is not known before
 */
export const estimateWaitMs = (state: TieredState, classState: ClassState): number => {
  const capacity = computePoolCapacity(state, classState);
  const classWorkMs = computeQueuedWorkMs(state, classState);
  if (classWorkMs === 0) return 0;
  if (capacity === 0) return Infinity;
  let workMs = classWorkMs;
  for (const other of state.classes) {
    if (other === classState) break;
    if (other.pool === classState.pool) workMs += computeQueuedWorkMs(state, other);
  }
  const guaranteedShareWaitMs = classWorkMs / (capacity * getGuaranteedShare(classState));
  return Math.min(workMs / capacity, guaranteedShareWaitMs);
};

const addJitter = (state: TieredState, waitMs: number): number =>
  Math.ceil(waitMs * (1 + RETRY_AFTER_JITTER * state.random()));

/**
 * Estimates when a refused caller should retry: when a share of the queue will have drained.
 *
 * @param state - dispatcher state
 * @param classState - the class of the refused request
 * @param nowMs - current time, in milliseconds
 * @returns delay in milliseconds, with random jitter
 */
export const estimateRetryAfterMs = (
  state: TieredState,
  classState: ClassState,
  nowMs: number,
): number => {
  const waitMs = estimateWaitMs(state, classState);
  const baseWaitMs = Number.isFinite(waitMs) ? waitMs : computeNextProbeDelayMs(state, nowMs);
  return addJitter(state, Math.max(MIN_RETRY_AFTER_MS, baseWaitMs * RETRY_AFTER_DRAINED_SHARE));
};

const computeNextProbeDelayMs = (state: TieredState, nowMs: number): number => {
  let soonest = Infinity;
  for (const engine of state.engines) soonest = Math.min(soonest, engine.probeAtMs - nowMs);
  return Number.isFinite(soonest) ? Math.max(0, soonest) : 0;
};

/**
 * Returns whether a request of a lower tier occupies a slot that a class could use.
 *
 * @param state - dispatcher state
 * @param classState - the class
 * @returns whether a request of a lower tier runs on a usable engine of the pool
 */
export const isLowerTierRunning = (state: TieredState, classState: ClassState): boolean => {
  for (const other of state.classByKey.values()) {
    if (other.tierRank <= classState.tierRank || other.running.size === 0) continue;
    for (const { engine } of other.running) {
      if (engine?.pool === classState.pool && isUsable(state, engine)) return true;
    }
  }
  return false;
};

const isTooLate = (
  state: TieredState,
  classState: ClassState,
  record: RequestRecord,
  nowMs: number,
): boolean => {
  const tolerance = classState.isPaying ? PAYING_WAIT_TOLERANCE : 1;
  return estimateWaitMs(state, classState) > tolerance * (record.latestStartMs - nowMs);
};

/**
 * Refuses waiting requests of a class that are expected to start too late, newest first and from the workspace with
 * the largest share of the queue. Requests of a paying class are not refused while a request of a lower tier occupies
 * a slot that the class could use.
 *
 * @param state - dispatcher state, modified in place
 * @param classState - the class
 * @param nowMs - current time, in milliseconds
 */
export const refuseTooLate = (state: TieredState, classState: ClassState, nowMs: number): void => {
  if (state.holdMs.value === undefined) return;
  for (let refused = 0; refused < MAX_REFUSALS_PER_CHECK; refused += 1) {
    const record = classState.queue.peekNewestOfLargest();
    if (record === undefined || !isTooLate(state, classState, record, nowMs)) return;
    if (classState.isPaying && isLowerTierRunning(state, classState)) return;
    const retryAfterMs = estimateRetryAfterMs(state, classState, nowMs);
    refuseRecord(state, record, ResultCode.Overloaded, retryAfterMs, nowMs);
  }
};

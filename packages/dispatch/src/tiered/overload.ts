import { ResultCode } from '@sardinegrade/common';

import { computeLimit } from '../engines/index.js';
import { countWaiting, getGuaranteedShare } from './classes.js';
import { isUsable } from './place.js';
import { refuseRecord } from './records.js';

import type { AskRecord, ClassState, TieredState } from './types.js';

const RETRY_AFTER_MINIMUM_MS = 250;

/** Retries are spread over this part of the wait, so that callers do not come back together. */
const RETRY_AFTER_SPREAD = 0.25;

/** Part of a full queue that should have drained before a caller comes back. */
const DRAINED_SHARE = 0.25;

/** Paying asks are refused early only where the estimate is this many times too long. */
const PAYING_PATIENCE = 1.5;

/** Asks that one review refuses at most in one class. */
const REVIEW_LIMIT = 64;

/**
 * Counts the places of a class's pool.
 *
 * @param state - the dispatcher's state
 * @param owner - the class
 * @returns the sum of the usable engines' limits
 */
export const countPlaces = (state: TieredState, owner: ClassState): number => {
  const known = state.placesByPool.get(owner.pool);
  if (known !== undefined) return known;
  let places = 0;
  for (const engine of state.engines) {
    if (engine.pool === owner.pool && isUsable(state, engine)) places += computeLimit(engine);
  }
  state.placesByPool.set(owner.pool, places);
  return places;
};

const getHoldMs = (state: TieredState, owner: ClassState): number =>
  owner.holdMs.value ?? state.holdMs.value ?? 0;

const computeWorkMs = (state: TieredState, owner: ClassState): number =>
  (countWaiting(owner) + owner.paused.size) * getHoldMs(state, owner);

/**
 * Estimates how long the last ask of a class's queue will wait: until all that goes before it has been served, or
 * until the class's guaranteed share has served its own queue, whichever is sooner.
 *
 * @param state - the dispatcher's state
 * @param owner - the class
 * @returns milliseconds; 0 while nothing is known of how long requests run
 */
export const estimateWaitMs = (state: TieredState, owner: ClassState): number => {
  const places = countPlaces(state, owner);
  const ownWorkMs = computeWorkMs(state, owner);
  if (ownWorkMs === 0) return 0;
  if (places === 0) return Infinity;
  let workMs = ownWorkMs;
  for (const other of state.classes) {
    if (other === owner) break;
    if (other.pool === owner.pool) workMs += computeWorkMs(state, other);
  }
  const byShareMs = ownWorkMs / (places * getGuaranteedShare(owner));
  return Math.min(workMs / places, byShareMs);
};

const addSpread = (state: TieredState, waitMs: number): number =>
  Math.ceil(waitMs * (1 + RETRY_AFTER_SPREAD * state.random()));

/**
 * Computes when a refused caller should ask again: when a part of the queue will have drained.
 *
 * @param state - the dispatcher's state
 * @param owner - the class of the refused ask
 * @param nowMs - the present
 * @returns milliseconds, spread at random
 */
export const estimateRetryAfterMs = (
  state: TieredState,
  owner: ClassState,
  nowMs: number,
): number => {
  const waitMs = estimateWaitMs(state, owner);
  const known = Number.isFinite(waitMs) ? waitMs : findNextProbeMs(state, nowMs);
  return addSpread(state, Math.max(RETRY_AFTER_MINIMUM_MS, known * DRAINED_SHARE));
};

const findNextProbeMs = (state: TieredState, nowMs: number): number => {
  let soonest = Infinity;
  for (const engine of state.engines) soonest = Math.min(soonest, engine.probeAtMs - nowMs);
  return Number.isFinite(soonest) ? Math.max(0, soonest) : 0;
};

/**
 * Says whether a lower tier holds a place that a class could use.
 *
 * @param state - the dispatcher's state
 * @param owner - the class
 * @returns whether a request of a lower tier runs on a usable engine of the pool
 */
export const hasLowerHolder = (state: TieredState, owner: ClassState): boolean => {
  for (const other of state.classByKey.values()) {
    if (other.tierRank <= owner.tierRank || other.running.size === 0) continue;
    for (const { engine } of other.running) {
      if (engine?.pool === owner.pool && isUsable(state, engine)) return true;
    }
  }
  return false;
};

const isDoomed = (
  state: TieredState,
  owner: ClassState,
  record: AskRecord,
  nowMs: number,
): boolean => {
  const patience = owner.isPaying ? PAYING_PATIENCE : 1;
  return estimateWaitMs(state, owner) > patience * (record.latestStartMs - nowMs);
};

/**
 * Refuses, newest first and from the workspace that holds most of the queue, asks of a class that cannot start in
 * time. A paying class loses none while a lower tier holds a place that it could use.
 *
 * @param state - the dispatcher's state
 * @param owner - the class
 * @param nowMs - the present
 */
export const refuseDoomed = (state: TieredState, owner: ClassState, nowMs: number): void => {
  if (state.holdMs.value === undefined) return;
  for (let refused = 0; refused < REVIEW_LIMIT; refused += 1) {
    const record = owner.queue.peekExcess();
    if (record === undefined || !isDoomed(state, owner, record, nowMs)) return;
    if (owner.isPaying && hasLowerHolder(state, owner)) return;
    const retryAfterMs = estimateRetryAfterMs(state, owner, nowMs);
    refuseRecord(state, record, ResultCode.Overloaded, retryAfterMs, nowMs);
  }
};

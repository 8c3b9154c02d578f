import { SuspicionState } from '../charts/index.js';
import {
  computeLimit,
  computeLoad,
  hasCapacity,
  isFallback,
  isAvailable,
} from '../engines/index.js';
import { isUnderSuspicion } from './records.js';

import type { PoolName } from '@sardinegrade/common';
import type { RequestRecord, TieredEngine, TieredState } from './types.js';

/** An engine is preferred for its cached prefix only up to this multiple of the mean load ratio. */
const MAX_AFFINITY_LOAD_RATIO = 1.25;

/**
 * Returns whether an engine may receive new requests: it is available, or it is a fallback and its pool has no
 * available engine.
 *
 * @param state - dispatcher state
 * @param engine - the engine
 * @returns whether it may receive new requests, regardless of its load
 */
export const isUsable = (state: TieredState, engine: TieredEngine): boolean =>
  isAvailable(engine) || (isFallback(engine) && !state.availablePools.has(engine.pool));

/**
 * Recomputes which pools have an available engine. Must be called whenever the health of an engine changes.
 *
 * @param state - dispatcher state, modified in place
 */
export const updateAvailablePools = (state: TieredState): void => {
  const pools = new Set<PoolName>();
  for (const engine of state.engines) {
    if (isAvailable(engine)) pools.add(engine.pool);
  }
  state.availablePools = pools;
  state.capacityByPool.clear();
};

const hasSuspect = (engine: TieredEngine): boolean => {
  for (const record of engine.running) if (record.isSuspectRetry) return true;
  for (const record of engine.paused) if (record.isSuspectRetry) return true;
  return false;
};

/**
 * Returns whether a suspect must wait: until another run of the same request ends, or until it is known whether the
 * engine crashed on which it ran.
 *
 * @param state - dispatcher state
 * @param record - the request
 * @param nowMs - current time, in milliseconds
 * @returns whether the request is a suspect that must not start yet
 */
export const isRetryBlocked = (
  state: TieredState,
  record: RequestRecord,
  nowMs: number,
): boolean => {
  const { fingerprint } = record.ask;
  const suspicion = state.suspicions.getState(fingerprint);
  if (suspicion === SuspicionState.Clear) return false;
  return state.runningSuspects.has(fingerprint) || state.suspicions.isBlocked(fingerprint, nowMs);
};

/**
 * Returns whether an engine may run a request, regardless of its load.
 *
 * @param state - dispatcher state
 * @param record - the request
 * @param engine - the engine
 * @param hasSuspicion - whether the request's fingerprint is a suspect
 * @returns whether pool, health, excluded upstreams and other suspects on the engine allow it
 */
export const canRunOn = (
  state: TieredState,
  record: RequestRecord,
  engine: TieredEngine,
  hasSuspicion: boolean,
): boolean => {
  if (engine.pool !== record.classState.pool || !isUsable(state, engine)) return false;
  if (record.ask.excludedUpstreams.includes(engine.id)) return false;
  return !hasSuspicion || !hasSuspect(engine);
};

const computeLoadRatio = (engine: TieredEngine, nowMs: number): number =>
  (computeLoad(engine, nowMs) + 1) / computeLimit(engine);

const computeMeanRatio = (state: TieredState, pool: PoolName, nowMs: number): number => {
  let sum = 0;
  let count = 0;
  for (const engine of state.engines) {
    if (engine.pool !== pool || !isUsable(state, engine)) continue;
    sum += computeLoadRatio(engine, nowMs);
    count += 1;
  }
  return count === 0 ? 0 : sum / count;
};

const computeSlowness = (state: TieredState, engine: TieredEngine): number => {
  const intervalMs = engine.tokenIntervalMs.value;
  if (intervalMs === undefined || state.medianIntervalMs === undefined) return 1;
  return Math.max(1, intervalMs / state.medianIntervalMs);
};

interface Candidate {
  readonly engine: TieredEngine;
  readonly score: number;
  readonly blocks: number;
}

const isBetter = (candidate: Candidate, best: Candidate | undefined): boolean => {
  if (best === undefined) return true;
  if (candidate.blocks !== best.blocks) return candidate.blocks > best.blocks;
  return candidate.score < best.score;
};

const scoreEngine = (
  state: TieredState,
  record: RequestRecord,
  engine: TieredEngine,
  meanRatio: number,
  nowMs: number,
): Candidate => {
  const ratio = computeLoadRatio(engine, nowMs);
  const { prefixBlocks } = record.ask;
  const isNearMeanLoad = ratio <= MAX_AFFINITY_LOAD_RATIO * meanRatio;
  const usesPrefix = state.tuning.usesPrefixes && isNearMeanLoad && prefixBlocks.length > 0;
  return {
    engine,
    score: ratio * computeSlowness(state, engine),
    blocks: usesPrefix ? engine.prefixes.countLeadingBlocks(prefixBlocks) : 0,
  };
};

/**
 * Picks the best engine with capacity for a request: the one with the longest cached prefix among engines whose load
 * is near the mean, otherwise the one with the lowest load relative to its speed. Ties are broken at random.
 *
 * @param state - dispatcher state
 * @param record - the request
 * @param nowMs - current time, in milliseconds
 * @returns the engine, or undefined if none has capacity for the request
 */
export const pickEngine = (
  state: TieredState,
  record: RequestRecord,
  nowMs: number,
): TieredEngine | undefined => {
  const hasSuspicion = isUnderSuspicion(state, record);
  const usesPrefix = state.tuning.usesPrefixes && record.ask.prefixBlocks.length > 0;
  const meanRatio = usesPrefix ? computeMeanRatio(state, record.classState.pool, nowMs) : 0;
  let best: Candidate | undefined;
  let tiedCount = 1;
  for (const engine of state.engines) {
    if (!hasCapacity(engine, nowMs) || !canRunOn(state, record, engine, hasSuspicion)) continue;
    const candidate = scoreEngine(state, record, engine, meanRatio, nowMs);
    if (candidate.score === best?.score && candidate.blocks === best.blocks) {
      tiedCount += 1;
      if (state.random() * tiedCount < 1) best = candidate;
    } else if (isBetter(candidate, best)) {
      tiedCount = 1;
      best = candidate;
    }
  }
  return best?.engine;
};

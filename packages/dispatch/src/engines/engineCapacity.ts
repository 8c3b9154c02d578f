import { EngineHealth } from '../charts/index.js';

import type { EngineState } from './types.js';

/** Share of its limit that an engine may use while it is not healthy. */
const REDUCED_LIMIT_SHARE = 0.5;

/**
 * Returns whether an engine is healthy or reduced, belongs to the shard and is not draining.
 *
 * @param engine - the engine
 * @returns whether it may receive new requests, regardless of its load
 */
export const isAvailable = (engine: EngineState): boolean =>
  engine.isMember &&
  !engine.isDraining &&
  (engine.health === EngineHealth.Healthy || engine.health === EngineHealth.Reduced);

/**
 * Returns whether an engine is suspended or being probed, so that it is used only if its pool has no available engine.
 *
 * @param engine - the engine
 * @returns false also for engines that are draining or no longer in the shard
 */
export const isFallback = (engine: EngineState): boolean =>
  engine.isMember &&
  !engine.isDraining &&
  (engine.health === EngineHealth.Suspended || engine.health === EngineHealth.Probing);

/**
 * Computes the current concurrency limit of an engine.
 *
 * @param engine - the engine
 * @returns a number of requests, an integer between 1 and its slots
 */
export const computeLimit = (engine: EngineState): number => {
  const share = engine.health === EngineHealth.Healthy ? 1 : REDUCED_LIMIT_SHARE;
  return Math.min(engine.slots, Math.max(1, Math.floor(engine.limit * share)));
};

/**
 * Computes an engine's load: the requests that the dispatcher granted and the external load of the last report.
 *
 * @param engine - the engine
 * @param nowMs - current time, in milliseconds
 * @returns a number of requests
 */
export const computeLoad = (engine: EngineState, nowMs: number): number =>
  engine.running.size + (engine.externalLoadExpiresAtMs > nowMs ? engine.externalLoad : 0);

/**
 * Returns whether an engine has capacity for one more request.
 *
 * @param engine - the engine
 * @param nowMs - current time, in milliseconds
 * @returns whether its load is below its limit and it is not blocked after a refusal or a failed connection
 */
export const hasCapacity = (engine: EngineState, nowMs: number): boolean =>
  engine.blockedUntilMs <= nowMs && computeLoad(engine, nowMs) < computeLimit(engine);

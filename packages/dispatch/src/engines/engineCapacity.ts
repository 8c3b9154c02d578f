import { EngineHealth } from '../charts/index.js';

import type { EngineState } from './types.js';

/** Share of its limit that an engine with reduced health may use. */
const REDUCED_LIMIT_SHARE = 0.5;

/**
 * Returns whether an engine may receive new requests, regardless of its load.
 *
 * @param engine - the engine
 * @returns false for engines that are draining, leaving, lost, suspended, being probed or no longer in the shard
 */
export const isAvailable = (engine: EngineState): boolean =>
  engine.isMember &&
  !engine.isDraining &&
  (engine.health === EngineHealth.Healthy || engine.health === EngineHealth.Reduced);

/**
 * Returns whether an engine is reachable but too slow, so that it is used only if no other engine is available.
 *
 * @param engine - the engine
 * @returns whether it is suspended or being probed
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

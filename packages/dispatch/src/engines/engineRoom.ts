import { EngineHealth } from '../charts/index.js';

import type { EngineState } from './types.js';

/** Part of its limit that a reduced engine is given. */
const REDUCED_SHARE = 0.5;

/**
 * Says whether an engine may get new work at all.
 *
 * @param engine - the engine
 * @returns false for engines that are drained, leaving, lost, suspended or out of the shard
 */
export const isSound = (engine: EngineState): boolean =>
  engine.isMember &&
  !engine.isDraining &&
  (engine.health === EngineHealth.Healthy || engine.health === EngineHealth.Reduced);

/**
 * Says whether an engine is only too slow, so that it may serve where no other engine is left.
 *
 * @param engine - the engine
 * @returns whether it is suspended or under probe
 */
export const isLastResort = (engine: EngineState): boolean =>
  engine.isMember &&
  !engine.isDraining &&
  (engine.health === EngineHealth.Suspended || engine.health === EngineHealth.Probing);

/**
 * Computes how many requests an engine may run at present.
 *
 * @param engine - the engine
 * @returns a whole number between 1 and its slots
 */
export const computeLimit = (engine: EngineState): number => {
  const share = engine.health === EngineHealth.Healthy ? 1 : REDUCED_SHARE;
  return Math.min(engine.slots, Math.max(1, Math.floor(engine.limit * share)));
};

/**
 * Computes an engine's load: the dispatcher's own grants and what others put on it.
 *
 * @param engine - the engine
 * @param nowMs - the present
 * @returns a number of requests
 */
export const computeLoad = (engine: EngineState, nowMs: number): number =>
  engine.running.size + (engine.externalUntilMs > nowMs ? engine.externalLoad : 0);

/**
 * Says whether an engine can take one more request.
 *
 * @param engine - the engine
 * @param nowMs - the present
 * @returns whether its load is below its limit and it has refused nothing just now
 */
export const hasRoom = (engine: EngineState, nowMs: number): boolean =>
  engine.blockedUntilMs <= nowMs && computeLoad(engine, nowMs) < computeLimit(engine);

import { updateAverage } from '../collections/index.js';

import type { EngineState } from './types.js';

const INTERVAL_WEIGHT = 0.1;
const SAMPLES_BEFORE_CLAMP = 4;
const SAMPLE_LIMIT_FACTOR = 5;
const CUT_FACTOR = 0.85;
const CUT_COOLDOWN_MS = 1_000;

/** The limit grows only while the interval stays below this part of the target. */
const GROWTH_BOUND = 0.8;

/** The limit is never cut below this part of the slots: below it a cut costs more than it gains. */
const LIMIT_FLOOR_SHARE = 0.25;

/** What one measurement says of an engine. */
export interface LatencySample {
  readonly tokenIntervalMs: number | undefined;
  readonly firstTokenMs: number | undefined;
  readonly firstTokenTargetMs: number;
}

const findStrictestTarget = (engine: EngineState, ownTargetMs: number): number => {
  let target = ownTargetMs;
  for (const record of engine.running)
    target = Math.min(target, record.owner.definition.tokenIntervalTargetMs);
  return target;
};

const reduceLimit = (engine: EngineState, nowMs: number): void => {
  if (nowMs - engine.limitCutAtMs < CUT_COOLDOWN_MS) return;
  engine.limitCutAtMs = nowMs;
  const floor = Math.max(1, engine.slots * LIMIT_FLOOR_SHARE);
  engine.limit = Math.max(floor, engine.limit * CUT_FACTOR);
};

/** A single stream's stall must not make an engine a straggler. */
const updateInterval = (engine: EngineState, sampleMs: number, nowMs: number): void => {
  const { value, samples } = engine.tokenIntervalMs;
  const isKnown = value !== undefined && samples >= SAMPLES_BEFORE_CLAMP;
  const clampedMs = isKnown ? Math.min(sampleMs, value * SAMPLE_LIMIT_FACTOR) : sampleMs;
  updateAverage(engine.tokenIntervalMs, clampedMs, nowMs, INTERVAL_WEIGHT);
};

/**
 * Adapts an engine's concurrency limit to a measured latency: additive growth, multiplicative cuts.
 *
 * @param engine - the engine, changed in place
 * @param sample - what was measured
 * @param intervalTargetMs - the token interval target of the measured request's class
 * @param nowMs - the present
 */
export const updateLimit = (
  engine: EngineState,
  sample: LatencySample,
  intervalTargetMs: number,
  nowMs: number,
): void => {
  if (sample.tokenIntervalMs !== undefined && sample.tokenIntervalMs > 0)
    updateInterval(engine, sample.tokenIntervalMs, nowMs);
  const target = findStrictestTarget(engine, intervalTargetMs);
  const interval = engine.tokenIntervalMs.value ?? 0;
  const isFirstLate =
    sample.firstTokenMs !== undefined && sample.firstTokenMs > sample.firstTokenTargetMs;
  if (interval > target || isFirstLate) {
    reduceLimit(engine, nowMs);
    return;
  }
  const isNearLimit = engine.running.size >= Math.floor(engine.limit) - 1;
  if (!isNearLimit || interval > target * GROWTH_BOUND) return;
  engine.limit = Math.min(engine.slots, engine.limit + 1 / engine.limit);
};

import { updateAverage } from '../collections/index.js';

import type { EngineState } from './types.js';

const INTERVAL_SAMPLE_WEIGHT = 0.1;
const MIN_SAMPLES_BEFORE_CLAMP = 4;
const MAX_SAMPLE_RATIO = 5;
const LIMIT_DECREASE_FACTOR = 0.85;
const LIMIT_DECREASE_COOLDOWN_MS = 1_000;

/** The limit grows only while the token interval is below this share of the target. */
const LIMIT_GROWTH_THRESHOLD = 0.8;

/** The limit is not reduced below this share of the slots: a further reduction costs more than it gains. */
const MIN_LIMIT_SHARE = 0.25;

/** One latency measurement of an engine. */
export interface LatencySample {
  readonly tokenIntervalMs: number | undefined;
  readonly firstTokenMs: number | undefined;
  readonly firstTokenTargetMs: number;
}

const findStrictestTarget = (engine: EngineState, classTargetMs: number): number => {
  let target = classTargetMs;
  for (const request of engine.running)
    target = Math.min(target, request.classState.definition.tokenIntervalTargetMs);
  return target;
};

const reduceLimit = (engine: EngineState, nowMs: number): void => {
  if (nowMs - engine.limitReducedAtMs < LIMIT_DECREASE_COOLDOWN_MS) return;
  engine.limitReducedAtMs = nowMs;
  const minLimit = Math.max(1, engine.slots * MIN_LIMIT_SHARE);
  engine.limit = Math.max(minLimit, engine.limit * LIMIT_DECREASE_FACTOR);
};

/** Clamps the sample, so that a stall of a single stream does not classify the engine as a straggler. */
const updateInterval = (engine: EngineState, sampleMs: number, nowMs: number): void => {
  const { value, samples } = engine.tokenIntervalMs;
  const canClamp = value !== undefined && samples >= MIN_SAMPLES_BEFORE_CLAMP;
  const clampedMs = canClamp ? Math.min(sampleMs, value * MAX_SAMPLE_RATIO) : sampleMs;
  updateAverage(engine.tokenIntervalMs, clampedMs, nowMs, INTERVAL_SAMPLE_WEIGHT);
};

/**
 * Adapts an engine's concurrency limit to a measured latency, with additive increase and multiplicative decrease.
 *
 * @param engine - the engine, modified in place
 * @param sample - the latency measurement
 * @param intervalTargetMs - token interval target of the measured request's class, in milliseconds
 * @param nowMs - current time, in milliseconds
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
  const isFirstTokenLate =
    sample.firstTokenMs !== undefined && sample.firstTokenMs > sample.firstTokenTargetMs;
  if (interval > target || isFirstTokenLate) {
    reduceLimit(engine, nowMs);
    return;
  }
  const isNearLimit = engine.running.size >= Math.floor(engine.limit) - 1;
  if (!isNearLimit || interval > target * LIMIT_GROWTH_THRESHOLD) return;
  engine.limit = Math.min(engine.slots, engine.limit + 1 / engine.limit);
};

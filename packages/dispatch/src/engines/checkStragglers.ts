import { EngineHealthEvent } from '../charts/index.js';
import { applyHealthEvent } from './engineHealth.js';
import { isAvailable } from './engineCapacity.js';

import type { EngineState } from './types.js';

const SLOW_INTERVAL_RATIO = 1.5;
const STALL_INTERVAL_RATIO = 3;
const RECOVERY_INTERVAL_RATIO = 1.25;
const MIN_SAMPLES = 4;

/** Samples older than this are ignored. */
const SAMPLE_LIFETIME_MS = 30_000;

/** A reduced engine without recent samples becomes healthy again after this time. */
const REDUCED_WITHOUT_SAMPLES_MS = 10_000;

/** Silence of an engine's streams is divided by this many median gaps before it is compared with the ratios. */
const SILENCE_GAP_COUNT = 4;

const computeMedian = (sorted: readonly number[]): number | undefined =>
  sorted[(sorted.length - 1) >> 1];

/** Computes the median of the sorted values without one occurrence of the given value. */
const computeOthersMedian = (sorted: readonly number[], value: number): number | undefined => {
  const position = sorted.indexOf(value);
  return computeMedian(position < 0 ? sorted : sorted.toSpliced(position, 1));
};

const hasRecentSamples = (engine: EngineState, nowMs: number): boolean =>
  engine.tokenIntervalMs.samples >= MIN_SAMPLES &&
  nowMs - engine.tokenIntervalMs.updatedAtMs < SAMPLE_LIFETIME_MS;

/** Finds the latest progress of the running streams; streams without a first token are ignored. */
const findLastProgress = (engine: EngineState): number | undefined => {
  let last: number | undefined;
  for (const { progressAtMs } of engine.running) {
    if (progressAtMs !== undefined && progressAtMs > (last ?? -Infinity)) last = progressAtMs;
  }
  return last;
};

/**
 * Computes how long an engine's streams have been silent while other streams of the shard progressed, in units of
 * SILENCE_GAP_COUNT median gaps. Time in which no stream progressed is not counted, so that a suspension of the
 * dispatcher's process does not count as silence.
 */
const computeSilenceRatio = (engine: EngineState, shardSpeed: ShardSpeed): number => {
  const ownValue = engine.progressGapMs.value;
  const progressAtMs = findLastProgress(engine);
  if (ownValue === undefined || progressAtMs === undefined) return 0;
  const othersMedian = computeOthersMedian(shardSpeed.progressGapsMs, ownValue);
  return othersMedian === undefined
    ? 0
    : (shardSpeed.progressAtMs - progressAtMs) / othersMedian / SILENCE_GAP_COUNT;
};

const sortDefined = (values: Iterable<number | undefined>): readonly number[] =>
  [...values].filter((value) => value !== undefined).sort((left, right) => left - right);

const pickHealthEvent = (ratio: number): EngineHealthEvent | undefined => {
  if (ratio >= STALL_INTERVAL_RATIO) return EngineHealthEvent.Stall;
  if (ratio >= SLOW_INTERVAL_RATIO) return EngineHealthEvent.Slow;
  return ratio <= RECOVERY_INTERVAL_RATIO ? EngineHealthEvent.Recover : undefined;
};

/** Current speed of the shard's engines; both lists are sorted. */
interface ShardSpeed {
  readonly tokenIntervalsMs: readonly number[];
  readonly progressGapsMs: readonly number[];
  /** The latest progress of any stream in the shard. */
  readonly progressAtMs: number;
}

/** Result of a straggler check. */
export interface StragglerCheck {
  /** Engines whose health changed. */
  readonly changed: readonly EngineState[];
  /** Median token interval of the measured engines; undefined if there are none. */
  readonly medianIntervalMs: number | undefined;
}

/**
 * Compares each engine's token interval and silence with the median of the other engines. A slow engine is reduced,
 * a much slower one is suspended.
 *
 * @param engines - all engines of the shard
 * @param nowMs - current time, in milliseconds
 * @returns the engines whose health changed, and the median token interval
 */
export const checkStragglers = (engines: readonly EngineState[], nowMs: number): StragglerCheck => {
  const measuredEngines = engines.filter(
    (engine) => isAvailable(engine) && hasRecentSamples(engine, nowMs),
  );
  const tokenIntervalsMs = sortDefined(
    measuredEngines.map((engine) => engine.tokenIntervalMs.value),
  );
  const progressGapsMs = sortDefined(measuredEngines.map((engine) => engine.progressGapMs.value));
  const progressAtMs = Math.max(...engines.map((engine) => findLastProgress(engine) ?? -Infinity));
  const shardSpeed = { tokenIntervalsMs, progressGapsMs, progressAtMs };
  const changed: EngineState[] = [];
  for (const engine of engines) {
    if (!isAvailable(engine)) continue;
    const event = checkEngine(engine, shardSpeed, nowMs);
    if (event !== undefined && applyHealthEvent(engine, event, nowMs)) changed.push(engine);
  }
  return { changed, medianIntervalMs: computeMedian(tokenIntervalsMs) };
};

const checkEngine = (
  engine: EngineState,
  shardSpeed: ShardSpeed,
  nowMs: number,
): EngineHealthEvent | undefined => {
  const ownValue = engine.tokenIntervalMs.value;
  if (ownValue === undefined || !hasRecentSamples(engine, nowMs)) {
    const isExpired = nowMs - engine.healthSinceMs > REDUCED_WITHOUT_SAMPLES_MS;
    return isExpired ? EngineHealthEvent.Recover : undefined;
  }
  const othersMedian = computeOthersMedian(shardSpeed.tokenIntervalsMs, ownValue);
  if (othersMedian === undefined) return EngineHealthEvent.Recover;
  const silenceRatio = computeSilenceRatio(engine, shardSpeed);
  return pickHealthEvent(Math.max(ownValue / othersMedian, silenceRatio));
};

import { EngineHealthEvent } from '../charts/index.js';
import { applyHealthEvent } from './engineHealth.js';
import { isSound } from './engineRoom.js';

import type { EngineState } from './types.js';

const SLOW_RATIO = 1.5;
const STALL_RATIO = 3;
const RECOVERY_RATIO = 1.25;
const SAMPLE_MINIMUM = 4;

/** Samples older than this say nothing about the present. */
const SAMPLE_LIFETIME_MS = 30_000;

/** A reduced engine without samples is taken back after this time. */
const REDUCED_LIFETIME_MS = 10_000;

/** Silence of an engine's streams counts as slowness beyond this many usual gaps. */
const SILENT_GAPS = 4;

const computeMedian = (sorted: readonly number[]): number | undefined =>
  sorted[(sorted.length - 1) >> 1];

/** The median of all values but the one at a position. */
const computeOthersMedian = (sorted: readonly number[], value: number): number | undefined => {
  const position = sorted.indexOf(value);
  return computeMedian(position < 0 ? sorted : sorted.toSpliced(position, 1));
};

const isMeasured = (engine: EngineState, nowMs: number): boolean =>
  engine.tokenIntervalMs.samples >= SAMPLE_MINIMUM &&
  nowMs - engine.tokenIntervalMs.updatedAtMs < SAMPLE_LIFETIME_MS;

/** The last progress of any stream that has begun and still runs; streams before their first token say nothing. */
const findLastProgress = (engine: EngineState): number | undefined => {
  let last: number | undefined;
  for (const { progressAtMs } of engine.running) {
    if (progressAtMs !== undefined && progressAtMs > (last ?? -Infinity)) last = progressAtMs;
  }
  return last;
};

/** How long an engine's streams have been silent while those of others went on, in usual gaps. */
const computeSilenceRatio = (engine: EngineState, shard: ShardPace): number => {
  const own = engine.progressGapMs.value;
  const progressAtMs = findLastProgress(engine);
  if (own === undefined || progressAtMs === undefined) return 0;
  const usual = computeOthersMedian(shard.gaps, own);
  return usual === undefined ? 0 : (shard.progressAtMs - progressAtMs) / usual / SILENT_GAPS;
};

const listSorted = (values: Iterable<number | undefined>): readonly number[] =>
  [...values].filter((value) => value !== undefined).sort((left, right) => left - right);

const pickHealthEvent = (ratio: number): EngineHealthEvent | undefined => {
  if (ratio >= STALL_RATIO) return EngineHealthEvent.Stall;
  if (ratio >= SLOW_RATIO) return EngineHealthEvent.Slow;
  return ratio <= RECOVERY_RATIO ? EngineHealthEvent.Recover : undefined;
};

/** How fast the shard's engines go at present. */
interface ShardPace {
  readonly intervals: readonly number[];
  readonly gaps: readonly number[];
  /** The last progress of any stream. */
  readonly progressAtMs: number;
}

/** Engines whose health changed, and the shard's usual token interval. */
export interface StragglerReview {
  readonly changed: readonly EngineState[];
  readonly medianIntervalMs: number | undefined;
}

/**
 * Compares each engine's token interval with the median of the others: first less work, then none.
 *
 * @param engines - all engines of the shard
 * @param nowMs - the present
 * @returns the engines whose health changed, and the median
 */
export const checkStragglers = (
  engines: readonly EngineState[],
  nowMs: number,
): StragglerReview => {
  const measured = engines.filter((engine) => isSound(engine) && isMeasured(engine, nowMs));
  const intervals = listSorted(measured.map((engine) => engine.tokenIntervalMs.value));
  const gaps = listSorted(measured.map((engine) => engine.progressGapMs.value));
  const progressAtMs = Math.max(...engines.map((engine) => findLastProgress(engine) ?? -Infinity));
  const pace = { intervals, gaps, progressAtMs };
  const changed: EngineState[] = [];
  for (const engine of engines) {
    if (!isSound(engine)) continue;
    const event = checkEngine(engine, pace, nowMs);
    if (event !== undefined && applyHealthEvent(engine, event, nowMs)) changed.push(engine);
  }
  return { changed, medianIntervalMs: computeMedian(intervals) };
};

const checkEngine = (
  engine: EngineState,
  pace: ShardPace,
  nowMs: number,
): EngineHealthEvent | undefined => {
  const own = engine.tokenIntervalMs.value;
  if (own === undefined || !isMeasured(engine, nowMs)) {
    const isOver = nowMs - engine.healthSinceMs > REDUCED_LIFETIME_MS;
    return isOver ? EngineHealthEvent.Recover : undefined;
  }
  const usual = computeOthersMedian(pace.intervals, own);
  if (usual === undefined) return EngineHealthEvent.Recover;
  const silence = computeSilenceRatio(engine, pace);
  return pickHealthEvent(Math.max(own / usual, silence));
};

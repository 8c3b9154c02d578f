import { build } from 'hdr-histogram-js';

import { CallerOutcome } from './types.js';

import type { Histogram } from 'hdr-histogram-js';
import type { LoadClass, RequestResult } from './types.js';

/** Figures of one class. */
export interface ClassSummary {
  readonly className: string;
  readonly isPaying: boolean;
  readonly requests: number;
  readonly outcomes: Readonly<Record<CallerOutcome, number>>;
  /** Requests whose whole answer met both targets, as a part of all requests. */
  readonly attainment: number;
  readonly firstTokenMs: Percentiles;
  readonly tokenIntervalMs: Percentiles;
  /** Tokens of whole answers. */
  readonly goodTokens: number;
  /** Tokens that reached callers in answers that are not whole. */
  readonly cutTokens: number;
}

/** Percentiles of a time in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_MICROSECONDS = 600_000_000;

const createHistogram = (): Histogram =>
  build({ highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 3 });

const recordMs = (histogram: Histogram, valueMs: number): void => {
  const microseconds = Math.round(valueMs * MICROSECONDS_PER_MS);
  histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(0, microseconds)));
};

const describePercentiles = (histogram: Histogram): Percentiles => {
  const getMs = (percentile: number): number =>
    Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
  return { p50: getMs(50), p95: getMs(95), p99: getMs(99) };
};

/**
 * Computes percentiles of times.
 *
 * @param valuesMs - the times in milliseconds
 * @returns their percentiles, 0 where there are none
 */
export const computePercentiles = (valuesMs: Iterable<number>): Percentiles => {
  const histogram = createHistogram();
  for (const valueMs of valuesMs) recordMs(histogram, valueMs);
  return describePercentiles(histogram);
};

/**
 * Whether a request got its whole answer within both targets of its class.
 *
 * @param result - what became of the request
 * @returns true where it did
 */
export const hasMetTargets = (result: RequestResult): boolean => {
  const { firstTokenTargetMs, tokenIntervalTargetMs } = result.request.loadClass;
  return (
    result.outcome === CallerOutcome.Whole &&
    (result.firstTokenMs ?? Infinity) <= firstTokenTargetMs &&
    (result.tokenIntervalMs ?? 0) <= tokenIntervalTargetMs
  );
};

const countOutcomes = (results: readonly RequestResult[]): Record<CallerOutcome, number> => {
  const counts = Object.fromEntries(
    Object.values(CallerOutcome).map((outcome) => [outcome, 0]),
  ) as Record<CallerOutcome, number>;
  for (const { outcome } of results) counts[outcome] += 1;
  return counts;
};

const countTokens = (results: readonly RequestResult[]): number =>
  results.reduce((sum, result) => sum + result.tokens, 0);

const computeSummary = (loadClass: LoadClass, results: readonly RequestResult[]): ClassSummary => {
  const whole = results.filter(({ outcome }) => outcome === CallerOutcome.Whole);
  const met = results.filter(hasMetTargets).length;
  return {
    className: loadClass.name,
    isPaying: loadClass.isPaying,
    requests: results.length,
    outcomes: countOutcomes(results),
    attainment: results.length === 0 ? 1 : met / results.length,
    firstTokenMs: computePercentiles(results.flatMap((result) => result.firstTokenMs ?? [])),
    tokenIntervalMs: computePercentiles(results.flatMap((result) => result.tokenIntervalMs ?? [])),
    goodTokens: countTokens(whole),
    cutTokens: countTokens(results) - countTokens(whole),
  };
};

/**
 * Sums the results of a load up by class.
 *
 * @param classes - the classes of the load
 * @param results - what became of its requests
 * @returns the figures of each class
 */
export const computeSummaries = (
  classes: readonly LoadClass[],
  results: readonly RequestResult[],
): readonly ClassSummary[] =>
  classes.map((loadClass) =>
    computeSummary(
      loadClass,
      results.filter(({ request }) => request.loadClass.name === loadClass.name),
    ),
  );

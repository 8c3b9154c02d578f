import { build } from 'hdr-histogram-js';

import { CallerOutcome } from './types.js';

import type { Histogram } from 'hdr-histogram-js';
import type { LoadClass, RequestResult } from './types.js';

/** Summary of the results of one class. */
export interface ClassSummary {
  readonly className: string;
  readonly isPaying: boolean;
  readonly requests: number;
  readonly outcomes: Readonly<Record<CallerOutcome, number>>;
  /** Fraction of all requests whose answer was complete and met both targets; 1 if there are no requests. */
  readonly attainment: number;
  readonly firstTokenMs: Percentiles;
  readonly tokenIntervalMs: Percentiles;
  /** Tokens of complete answers. */
  readonly goodTokens: number;
  /** Tokens that callers received in incomplete answers. */
  readonly cutTokens: number;
}

/** Percentiles of durations in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

const MICROSECONDS_PER_MS = 1_000;
const MAX_MICROSECONDS = 600_000_000;

const createHistogram = (): Histogram =>
  build({ highestTrackableValue: MAX_MICROSECONDS, numberOfSignificantValueDigits: 3 });

const recordMs = (histogram: Histogram, valueMs: number): void => {
  const microseconds = Math.round(valueMs * MICROSECONDS_PER_MS);
  histogram.recordValue(Math.min(MAX_MICROSECONDS, Math.max(0, microseconds)));
};

const describePercentiles = (histogram: Histogram): Percentiles => {
  const getMs = (percentile: number): number =>
    Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;
  return { p50: getMs(50), p95: getMs(95), p99: getMs(99) };
};

/**
 * Computes the percentiles of durations.
 *
 * @param valuesMs - durations in milliseconds
 * @returns the percentiles in milliseconds, 0 if there are no values
 */
export const computePercentiles = (valuesMs: Iterable<number>): Percentiles => {
  const histogram = createHistogram();
  for (const valueMs of valuesMs) recordMs(histogram, valueMs);
  return describePercentiles(histogram);
};

/**
 * Checks whether a request got a complete answer within both targets of its class.
 *
 * @param result - result of the request
 * @returns true if it did
 */
export const hasMetTargets = (result: RequestResult): boolean => {
  const { firstTokenTargetMs, tokenIntervalTargetMs } = result.request.loadClass;
  return (
    result.outcome === CallerOutcome.Complete &&
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
  const complete = results.filter(({ outcome }) => outcome === CallerOutcome.Complete);
  const met = results.filter(hasMetTargets).length;
  return {
    className: loadClass.name,
    isPaying: loadClass.isPaying,
    requests: results.length,
    outcomes: countOutcomes(results),
    attainment: results.length === 0 ? 1 : met / results.length,
    firstTokenMs: computePercentiles(results.flatMap((result) => result.firstTokenMs ?? [])),
    tokenIntervalMs: computePercentiles(results.flatMap((result) => result.tokenIntervalMs ?? [])),
    goodTokens: countTokens(complete),
    cutTokens: countTokens(results) - countTokens(complete),
  };
};

/**
 * Summarizes the results of a load by class.
 *
 * @param classes - classes of the load
 * @param results - results of its requests
 * @returns one summary for each class, in the order of the classes
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

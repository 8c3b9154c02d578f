import { hasMetTargets } from '../load/index.js';

import type { CallerOutcome, RequestResult } from '../load/index.js';

/** A point of a chart. */
export type Point = readonly [x: number, y: number];

const PERCENT = 100;

/**
 * Derives the cumulative distribution of the time to the first token. Requests that never received
 * a token count in the total, so the curve stays below 100 %.
 *
 * @param results - the results of the requests
 * @returns points of time in milliseconds, at least 1 for a logarithmic axis, and percentage of
 *   requests whose first token had arrived by then
 */
export const deriveFirstTokenCurve = (results: readonly RequestResult[]): readonly Point[] =>
  results
    .flatMap(({ firstTokenMs }) => firstTokenMs ?? [])
    .sort((first, second) => first - second)
    .map((time, index) => [Math.max(1, time), ((index + 1) / results.length) * PERCENT]);

const splitByTime = (
  results: readonly RequestResult[],
  stepMs: number,
): ReadonlyMap<number, readonly RequestResult[]> => {
  const steps = new Map<number, RequestResult[]>();
  for (const result of results) {
    const step = Math.floor(result.atMs / stepMs);
    const members = steps.get(step);
    if (members === undefined) steps.set(step, [result]);
    else members.push(result);
  }
  return steps;
};

/**
 * Derives over time the share of requests that met both latency targets.
 *
 * @param results - the results of the requests
 * @param stepMs - the width of a time interval, in milliseconds
 * @returns points of the interval's start in seconds and percentage of the requests sent in it that
 *   met both targets
 */
export const deriveAttainmentCurve = (
  results: readonly RequestResult[],
  stepMs: number,
): readonly Point[] =>
  [...splitByTime(results, stepMs)]
    .sort(([first], [second]) => first - second)
    .map(([step, members]) => [
      (step * stepMs) / 1_000,
      (members.filter(hasMetTargets).length / members.length) * PERCENT,
    ]);

/**
 * Counts requests by outcome.
 *
 * @param results - the results of the requests
 * @returns the number of requests for each outcome that occurred
 */
export const countByOutcome = (
  results: readonly RequestResult[],
): ReadonlyMap<CallerOutcome, number> => {
  const counts = new Map<CallerOutcome, number>();
  for (const { outcome } of results) counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  return counts;
};

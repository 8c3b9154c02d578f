import { hasMetTargets } from '../load/index.js';

import type { CallerOutcome, RequestResult } from '../load/index.js';

/** A point of a plot. */
export type Point = readonly [x: number, y: number];

const PERCENT = 100;

/**
 * Derives the distribution of the time to the first token. Requests that never had a token keep the
 * curve below 100.
 *
 * @param results - what became of the requests
 * @returns time in milliseconds against the part of requests, in percent, that had a token by then
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
    const known = steps.get(step);
    if (known === undefined) steps.set(step, [result]);
    else known.push(result);
  }
  return steps;
};

/**
 * Derives attainment over time.
 *
 * @param results - what became of the requests
 * @param stepMs - length of the steps of time
 * @returns time in seconds against the part of the requests sent then, in percent, that met both targets
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
 * Counts the requests by how they ended.
 *
 * @param results - what became of the requests
 * @returns the number for each outcome that occurred
 */
export const countByOutcome = (
  results: readonly RequestResult[],
): ReadonlyMap<CallerOutcome, number> => {
  const counts = new Map<CallerOutcome, number>();
  for (const { outcome } of results) counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  return counts;
};

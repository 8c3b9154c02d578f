import { CallerOutcome } from '../../load/index.js';

import type { RequestResult } from '../../load/index.js';

/** A part of a run, in milliseconds since its beginning. */
export interface Window {
  readonly fromMs: number;
  readonly untilMs: number;
}

const getFirstTokenAtMs = (result: RequestResult): number =>
  result.atMs + (result.firstTokenMs ?? 0);

/** Tokens of a whole answer that fell into a window, taken as evenly spread over its stream. */
const countTokensWithin = (result: RequestResult, window: Window): number => {
  if (result.outcome !== CallerOutcome.Whole) return 0;
  const fromMs = getFirstTokenAtMs(result);
  const lengthMs = Math.max(1, result.endedAtMs - fromMs);
  const overlapMs = Math.min(result.endedAtMs, window.untilMs) - Math.max(fromMs, window.fromMs);
  return Math.max(0, overlapMs / lengthMs) * result.tokens;
};

/**
 * Counts the tokens of whole answers that fell into a window.
 *
 * @param results - what became of the requests
 * @param window - the window
 * @returns the tokens by class
 */
export const countGoodTokens = (
  results: readonly RequestResult[],
  window: Window,
): ReadonlyMap<string, number> => {
  const byClass = new Map<string, number>();
  for (const result of results) {
    const { name } = result.request.loadClass;
    const tokens = countTokensWithin(result, window);
    byClass.set(name, (byClass.get(name) ?? 0) + tokens);
  }
  return byClass;
};

const isHolding = (result: RequestResult, atMs: number): boolean =>
  result.firstTokenMs !== undefined && getFirstTokenAtMs(result) < atMs && result.endedAtMs > atMs;

/**
 * Counts the paying requests that were refused while a request of a lower tier held a place.
 *
 * @param results - what became of the requests
 * @returns their number
 */
export const countUnfairRefusals = (results: readonly RequestResult[]): number => {
  const lower = results.filter(({ request }) => !request.loadClass.isPaying);
  return results.filter(
    (result) =>
      result.request.loadClass.isPaying &&
      result.outcome === CallerOutcome.Refused &&
      lower.some((other) => isHolding(other, result.endedAtMs)),
  ).length;
};

import { CallerOutcome } from '../../load/index.js';

import type { RequestResult } from '../../load/index.js';

/** A part of a run, in milliseconds since its start. */
export interface TimeWindow {
  readonly fromMs: number;
  readonly untilMs: number;
}

const getFirstTokenAtMs = (result: RequestResult): number =>
  result.atMs + (result.firstTokenMs ?? 0);

/** Counts the tokens of a complete answer that fell into a window, assuming a constant token rate. */
const countTokensWithin = (result: RequestResult, window: TimeWindow): number => {
  if (result.outcome !== CallerOutcome.Complete) return 0;
  const fromMs = getFirstTokenAtMs(result);
  const lengthMs = Math.max(1, result.endedAtMs - fromMs);
  const overlapMs = Math.min(result.endedAtMs, window.untilMs) - Math.max(fromMs, window.fromMs);
  return Math.max(0, overlapMs / lengthMs) * result.tokens;
};

/**
 * Counts the tokens of complete answers that fell into a window.
 *
 * @param results - the results of the requests
 * @param window - the part of the run to count in
 * @returns the number of tokens by class
 */
export const countGoodTokens = (
  results: readonly RequestResult[],
  window: TimeWindow,
): ReadonlyMap<string, number> => {
  const byClass = new Map<string, number>();
  for (const result of results) {
    const { name } = result.request.loadClass;
    const tokens = countTokensWithin(result, window);
    byClass.set(name, (byClass.get(name) ?? 0) + tokens);
  }
  return byClass;
};

const isHoldingSlot = (result: RequestResult, atMs: number): boolean =>
  result.firstTokenMs !== undefined && getFirstTokenAtMs(result) < atMs && result.endedAtMs > atMs;

/**
 * Counts the paying requests that were refused while a request of a lower tier occupied a slot.
 *
 * @param results - the results of the requests
 * @returns the number of refused paying requests
 */
export const countUnfairRefusals = (results: readonly RequestResult[]): number => {
  const lower = results.filter(({ request }) => !request.loadClass.isPaying);
  return results.filter(
    (result) =>
      result.request.loadClass.isPaying &&
      result.outcome === CallerOutcome.Refused &&
      lower.some((other) => isHoldingSlot(other, result.endedAtMs)),
  ).length;
};

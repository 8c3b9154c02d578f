import { SimulatedOutcome } from '@sardinegrade/dispatch/testing';

import { COMPARED_CLASSES } from './buildArrivals.js';
import { DURATION_MS } from './constants.js';

import type { SimulatedResult } from '@sardinegrade/dispatch/testing';
import type { VariantFigures } from './types.js';

const DEFAULT_FIRST_TOKEN_TARGET_MS = 1_200;
const TOKEN_INTERVAL_TARGET_MS = 78;

const getFirstTokenTarget = (className: string): number =>
  COMPARED_CLASSES.find(({ name }) => String(name) === className)?.firstTokenTargetMs ??
  DEFAULT_FIRST_TOKEN_TARGET_MS;

const isAttained = ({ request, outcome, atMs, firstTokenAtMs }: SimulatedResult): boolean => {
  if (outcome !== SimulatedOutcome.Finished || firstTokenAtMs === undefined) return false;
  const { ask, outputTokens } = request;
  if (firstTokenAtMs - ask.arrivedAtMs > getFirstTokenTarget(ask.className)) return false;
  const intervalMs = (atMs - firstTokenAtMs) / Math.max(1, outputTokens);
  return intervalMs <= TOKEN_INTERVAL_TARGET_MS;
};

const computeShare = <Item>(items: readonly Item[], matches: (item: Item) => boolean): number =>
  items.length === 0 ? 0 : items.filter(matches).length / items.length;

const isOfClass =
  (className: string) =>
  ({ request }: SimulatedResult): boolean =>
    String(request.ask.className) === className;

const countTokens = (results: readonly SimulatedResult[]): number =>
  results.reduce((sum, { request }) => sum + request.outputTokens, 0);

/**
 * Computes the figures by which variants are compared.
 *
 * @param name - the name of the variant
 * @param results - the result of each request
 * @param requests - the number of requests sent
 * @returns the figures of the variant
 */
export const computeFigures = (
  name: string,
  results: readonly SimulatedResult[],
  requests: number,
): VariantFigures => {
  const finished = results.filter(({ outcome }) => outcome === SimulatedOutcome.Finished);
  const inTime = finished.filter(({ atMs }) => atMs <= DURATION_MS);
  const tokens = countTokens(inTime);
  const wasted = results.reduce((sum, { wastedTokens }) => sum + wastedTokens, 0);
  const isRefusedPaying = (result: SimulatedResult): boolean =>
    result.outcome === SimulatedOutcome.Refused && !isOfClass('history')(result);
  return {
    name,
    queryAttainment: computeShare(results.filter(isOfClass('query')), isAttained),
    reportAttainment: computeShare(results.filter(isOfClass('report')), isAttained),
    finishedShare: finished.length / requests,
    goodput: (tokens * 1_000) / DURATION_MS,
    freeShare: countTokens(inTime.filter(isOfClass('history'))) / Math.max(1, tokens),
    wastedShare: wasted / Math.max(1, tokens),
    payingRefused: results.filter(isRefusedPaying).length,
  };
};

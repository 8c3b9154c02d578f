import { Tier, toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';
import { buildAsk } from '@sardinegrade/dispatch/testing';

import { DURATION_MS } from './constants.js';

import type { ClassConfiguration, ClassName } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';
import type { Arrival } from './types.js';

/** The request classes of the comparisons. */
export const COMPARED_CLASSES: readonly Partial<ClassConfiguration>[] = [
  { name: toBranded<ClassName>('query'), tier: Tier.Paying },
  {
    name: toBranded<ClassName>('report'),
    tier: Tier.Paying,
    priority: 1,
    firstTokenTargetMs: 8_000,
  },
  {
    name: toBranded<ClassName>('history'),
    tier: Tier.Free,
    minimumShare: 0.05,
    firstTokenTargetMs: 30_000,
  },
];

interface TrafficSource {
  readonly className: string;
  readonly meanTokens: number;
  readonly tokensPerSecond: number;
  readonly deadlineMs: number;
  /** Factor on the arrival rate during a burst; 1 for no bursts. */
  readonly burstFactor: number;
  readonly workspaces: number;
}

/** A burst of queries lasts for the first fifth of each period. */
const BURST_PERIOD_MS = 20_000;
const BURST_SHARE = 0.2;

/** Together about twice the capacity of the engines; more than half of it is of the free tier. */
const SOURCES: readonly TrafficSource[] = [
  {
    className: 'query',
    meanTokens: 60,
    tokensPerSecond: 350,
    deadlineMs: 30_000,
    burstFactor: 3,
    workspaces: 6,
  },
  {
    className: 'report',
    meanTokens: 400,
    tokensPerSecond: 500,
    deadlineMs: 90_000,
    burstFactor: 1,
    workspaces: 4,
  },
  {
    className: 'history',
    meanTokens: 400,
    tokensPerSecond: 2_000,
    deadlineMs: 90_000,
    burstFactor: 1,
    workspaces: 3,
  },
];

const MAXIMUM_TOKENS = 1_500;
const BLOCKS_PER_PROMPT = 4;
const PROMPTS = 24;

const pickExponential = (mean: number, random: RandomSource): number =>
  -mean * Math.log(1 - random());

const isBurst = (atMs: number): boolean => (atMs % BURST_PERIOD_MS) / BURST_PERIOD_MS < BURST_SHARE;

const buildArrival = (
  source: TrafficSource,
  number: number,
  atMs: number,
  random: RandomSource,
): Arrival => {
  const prompt = Math.floor(random() * PROMPTS);
  const tokens = Math.ceil(pickExponential(source.meanTokens, random));
  const ask = buildAsk({
    askId: `${source.className}-${number}`,
    className: source.className,
    workspace: `${source.className}-${Math.floor(random() * source.workspaces)}`,
    arrivedAtMs: atMs,
    deadlineAtMs: atMs + source.deadlineMs,
    promptTokens: 256,
    maxTokens: MAXIMUM_TOKENS,
    prefixBlocks: Array.from(
      { length: BLOCKS_PER_PROMPT },
      (_, block) => prompt * BLOCKS_PER_PROMPT + block,
    ),
  });
  return {
    atMs,
    request: { ask, outputTokens: Math.min(MAXIMUM_TOKENS, tokens), isPoison: false },
  };
};

const buildSourceArrivals = (
  source: TrafficSource,
  loadShare: number,
  random: RandomSource,
): readonly Arrival[] => {
  const arrivals: Arrival[] = [];
  const meanIntervalMs = (source.meanTokens / source.tokensPerSecond / loadShare) * 1_000;
  let atMs = 0;
  while (atMs < DURATION_MS) {
    atMs += pickExponential(meanIntervalMs / (isBurst(atMs) ? source.burstFactor : 1), random);
    arrivals.push(buildArrival(source, arrivals.length, Math.ceil(atMs), random));
  }
  return arrivals;
};

/**
 * Builds the load that all variants of a comparison share: queries in bursts, long reports, and more
 * free requests than the engines can serve.
 *
 * @param seed - the seed of arrivals and lengths
 * @param loadShare - the fraction of the full load, 0 to 1
 * @returns the arrivals in chronological order
 */
export const buildArrivals = (seed: number, loadShare = 1): readonly Arrival[] => {
  const random = createRandomSource(seed);
  return SOURCES.flatMap((source) => buildSourceArrivals(source, loadShare, random)).sort(
    (left, right) => left.atMs - right.atMs,
  );
};

import { DispatchPolicy, PreemptionMode, SpreadPolicy } from '@sardinegrade/dispatch';

import { buildArrivals } from './buildArrivals.js';
import { computeFigures } from './computeFigures.js';
import { runLocalDecisions } from './runLocalDecisions.js';
import { runDispatched } from './runDispatched.js';

import type { BenchTable } from '../../runner/index.js';
import type { DispatchedOptions } from './runDispatched.js';
import type { Variant, VariantFigures } from './types.js';

/** With full slots, engines of the light cost meet the token interval target, those of the heavy cost don't. */
const LIGHT_BATCHING_COST = 1;
const HEAVY_BATCHING_COST = 4;

/** Load for engines of the heavy cost, whose capacity is less than half that of the others. */
const HEAVY_LOAD_SHARE = 0.4;

const SHARDS = 4;

/** Variants that differ in a single setting. */
interface Comparison {
  readonly title: string;
  /** Fraction of the full load; 1 if absent. */
  readonly loadShare?: number;
  readonly variants: readonly Variant[];
}

const buildDispatchedVariant = (
  name: string,
  seed: number,
  options: Partial<DispatchedOptions> = {},
): Variant => ({
  name,
  run: (arrivals) =>
    runDispatched(
      { seed, policy: DispatchPolicy.Tiered, batchingCost: LIGHT_BATCHING_COST, ...options },
      arrivals,
    ),
});

const buildLocalVariant = (name: string, seed: number, spread: SpreadPolicy): Variant => ({
  name,
  run: (arrivals) =>
    runLocalDecisions({ seed, spread, batchingCost: LIGHT_BATCHING_COST }, arrivals),
});

const listComparisons = (seed: number): readonly Comparison[] => [
  {
    title: 'Policies',
    variants: [
      buildDispatchedVariant('tiered', seed),
      buildDispatchedVariant('naive', seed, { policy: DispatchPolicy.Naive }),
    ],
  },
  {
    title: 'Concurrency limits, engines slow with full slots',
    loadShare: HEAVY_LOAD_SHARE,
    variants: [
      buildDispatchedVariant('adaptive', seed, { batchingCost: HEAVY_BATCHING_COST }),
      buildDispatchedVariant('slots only', seed, {
        batchingCost: HEAVY_BATCHING_COST,
        tuning: { adaptsLimits: false },
      }),
    ],
  },
  {
    title: 'Preemption',
    variants: [
      buildDispatchedVariant('pause and resume', seed),
      buildDispatchedVariant('cancel', seed, { tuning: { preemption: PreemptionMode.Cancel } }),
      buildDispatchedVariant('none', seed, { tuning: { preemption: undefined } }),
    ],
  },
  {
    title: 'Choices between shards',
    variants: [
      buildDispatchedVariant('one', seed, { shardCount: SHARDS, comparedShards: 1 }),
      buildDispatchedVariant('two', seed, { shardCount: SHARDS, comparedShards: 2 }),
      buildDispatchedVariant('one shard for all', seed),
    ],
  },
  {
    title: 'Grants or every daemon alone, reports lagging',
    variants: [
      buildDispatchedVariant('grants', seed),
      buildLocalVariant('alone, least reported', seed, SpreadPolicy.LeastReported),
      buildLocalVariant('alone, two choices', seed, SpreadPolicy.TwoChoices),
    ],
  },
];

/** The figures of one comparison. */
export interface ComparisonFigures {
  readonly title: string;
  readonly variants: readonly VariantFigures[];
}

/**
 * Runs all comparisons; the variants of a comparison share one load.
 *
 * @param seed - the seed of load and decisions
 * @param report - prints a progress message
 * @returns the figures of each comparison
 */
export const runComparisons = (
  seed: number,
  report: (line: string) => void,
): readonly ComparisonFigures[] => {
  return listComparisons(seed).map(({ title, variants, loadShare }) => {
    report(title);
    const arrivals = buildArrivals(seed, loadShare);
    return {
      title,
      variants: variants.map(({ name, run }) =>
        computeFigures(name, run(arrivals), arrivals.length),
      ),
    };
  });
};

/**
 * Builds the table of a comparison, with one row per variant.
 *
 * @param figures - the figures of the comparison
 * @returns the table
 */
export const buildComparisonTable = ({ title, variants }: ComparisonFigures): BenchTable => ({
  title,
  columns: [
    'variant',
    'query att.',
    'report att.',
    'finished',
    'goodput tok/s',
    'free share',
    'wasted',
    'paying refused',
  ],
  rows: variants.map((figures) => [
    figures.name,
    figures.queryAttainment,
    figures.reportAttainment,
    figures.finishedShare,
    Math.round(figures.goodput),
    figures.freeShare,
    figures.wastedShare,
    figures.payingRefused,
  ]),
});

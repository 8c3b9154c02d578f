import { DispatchPolicy, PreemptionMode, SpreadPolicy } from '@sardinegrade/dispatch';

import { buildArrivals } from './buildArrivals.js';
import { computeFigures } from './computeFigures.js';
import { runAlone } from './runAlone.js';
import { runDispatched } from './runDispatched.js';

import type { BenchTable } from '../../runner/index.js';
import type { DispatchedShape } from './runDispatched.js';
import type { Variant, VariantFigures } from './types.js';

/** Engines that keep the token target with full slots, and engines that do not. */
const LIGHT_BATCHING = 1;
const HEAVY_BATCHING = 4;

/** Such engines compute less than half as much. */
const HEAVY_LOAD_SHARE = 0.4;

const SHARDS = 4;

/** Variants that differ in one thing. */
interface Comparison {
  readonly title: string;
  /** Part of the full load; 1 where absent. */
  readonly loadShare?: number;
  readonly variants: readonly Variant[];
}

const buildVariant = (
  name: string,
  seed: number,
  shape: Partial<DispatchedShape> = {},
): Variant => ({
  name,
  run: (arrivals) =>
    runDispatched(
      { seed, policy: DispatchPolicy.Tiered, batchingCost: LIGHT_BATCHING, ...shape },
      arrivals,
    ),
});

const buildLone = (name: string, seed: number, spread: SpreadPolicy): Variant => ({
  name,
  run: (arrivals) => runAlone({ seed, spread, batchingCost: LIGHT_BATCHING }, arrivals),
});

const listComparisons = (seed: number): readonly Comparison[] => [
  {
    title: 'Policies',
    variants: [
      buildVariant('tiered', seed),
      buildVariant('naive', seed, { policy: DispatchPolicy.Naive }),
    ],
  },
  {
    title: 'Concurrency limits, engines slow with full slots',
    loadShare: HEAVY_LOAD_SHARE,
    variants: [
      buildVariant('adaptive', seed, { batchingCost: HEAVY_BATCHING }),
      buildVariant('slots only', seed, {
        batchingCost: HEAVY_BATCHING,
        tuning: { adaptsLimits: false },
      }),
    ],
  },
  {
    title: 'Preemption',
    variants: [
      buildVariant('pause and resume', seed),
      buildVariant('cancel', seed, { tuning: { preemption: PreemptionMode.Cancel } }),
      buildVariant('none', seed, { tuning: { preemption: undefined } }),
    ],
  },
  {
    title: 'Choices between shards',
    variants: [
      buildVariant('one', seed, { shards: SHARDS, choices: 1 }),
      buildVariant('two', seed, { shards: SHARDS, choices: 2 }),
      buildVariant('one shard for all', seed),
    ],
  },
  {
    title: 'Grants or every daemon alone, reports lagging',
    variants: [
      buildVariant('grants', seed),
      buildLone('alone, least reported', seed, SpreadPolicy.LeastReported),
      buildLone('alone, two choices', seed, SpreadPolicy.TwoChoices),
    ],
  },
];

/** The figures of one comparison. */
export interface ComparisonFigures {
  readonly title: string;
  readonly variants: readonly VariantFigures[];
}

/**
 * Runs all comparisons over one common load.
 *
 * @param seed - the seed of load and decisions
 * @param report - prints a line of progress
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
 * Lays a comparison out as a table.
 *
 * @param figures - the comparison's figures
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

import { DispatchPolicy } from '@sardinegrade/dispatch';

import { requireAtMost } from '../runner/index.js';
import { buildComparisonTable, runComparisons } from './comparisons/index.js';
import { measureCharts } from './measureCharts.js';
import { measureDecisions } from './measureDecisions.js';

import type { Bench, BenchOutcome, BenchTable, BenchTarget } from '../runner/index.js';
import type { ChartCost } from './measureCharts.js';
import type { DecisionCost, DecisionSize } from './measureDecisions.js';

const DECISION_LIMIT_US = 20;
const WORKERS = 120;
const QUEUED_REQUESTS = 10_000;
const ROUNDS = 8_000;
const NAIVE_ROUNDS = 200;
const QUEUE_SIZES = [1_000, 3_000, 10_000, 30_000];
const WORKER_COUNTS = [8, 15, 30, 60, 120];

/** Factor by which the cost may exceed logarithmic growth, to allow for measurement noise. */
const GROWTH_TOLERANCE = 1.25;

const toRow = (cost: DecisionCost): readonly (string | number)[] => [
  cost.policy,
  cost.workers,
  cost.queued,
  cost.grantUs,
  cost.grantP99Us,
  cost.askUs,
];

const buildTable = (title: string, costs: readonly DecisionCost[]): BenchTable => ({
  title,
  columns: ['policy', 'workers', 'queued', 'grant us', 'p99 us', 'ask us'],
  rows: costs.map(toRow),
});

const buildChartTable = ({ interpretedUs, tableUs }: ChartCost): BenchTable => ({
  title: 'Cost of a transition of the request chart',
  columns: ['how', 'us'],
  rows: [
    ['interpreted at each transition', interpretedUs],
    ['interpreted once, at start', tableUs],
  ],
});

const findCost = (costs: readonly DecisionCost[], queued: number): number =>
  costs.find((cost) => cost.queued === queued)?.grantUs ?? Infinity;

const buildTargets = (byQueue: readonly DecisionCost[]): readonly BenchTarget[] => {
  const [smallest = 1, largest = 1] = [QUEUE_SIZES[0], QUEUE_SIZES.at(-1)];
  const growth = findCost(byQueue, largest) / findCost(byQueue, smallest);
  const allowed = (GROWTH_TOLERANCE * Math.log(largest)) / Math.log(smallest);
  return [
    requireAtMost('decision_us', findCost(byQueue, QUEUED_REQUESTS), DECISION_LIMIT_US),
    requireAtMost('growth_1k_to_30k', growth, Math.round(allowed * 100) / 100),
  ];
};

/**
 * Measures the cost of grant decisions at several sizes and for the naive policy, and compares
 * dispatch policies in a simulation.
 *
 * @param options - the seed of the load, and the function that prints progress messages
 * @returns figures, tables and targets
 */
export const runDecideBench = ({
  seed,
  report,
}: {
  readonly seed: number;
  readonly report: (line: string) => void;
}): BenchOutcome => {
  const policy = DispatchPolicy.Tiered;
  const measure = (size: DecisionSize): DecisionCost => {
    report(`${size.policy}: ${size.workers} workers, ${size.queued} queued`);
    return measureDecisions(size, seed);
  };
  measureDecisions({ workers: 8, queued: 100, policy, rounds: ROUNDS }, seed);
  const byQueue = QUEUE_SIZES.map((queued) =>
    measure({ workers: WORKERS, queued, policy, rounds: ROUNDS }),
  );
  const byWorkers = WORKER_COUNTS.map((workers) =>
    measure({ workers, queued: QUEUED_REQUESTS, policy, rounds: ROUNDS }),
  );
  const naive = measure({
    workers: WORKERS,
    queued: 1_000,
    policy: DispatchPolicy.Naive,
    rounds: NAIVE_ROUNDS,
  });
  const charts = measureCharts();
  const comparisons = runComparisons(seed, report);
  return {
    tables: [
      buildTable('Cost of a grant by queue', byQueue),
      buildTable('Cost of a grant by workers', byWorkers),
      buildTable('Naive', [naive]),
      buildChartTable(charts),
      ...comparisons.map(buildComparisonTable),
    ],
    targets: buildTargets(byQueue),
    figures: { byQueue, byWorkers, naive, charts, comparisons },
  };
};

/** Measures grant decisions by queue length and number of workers. */
export const DECIDE_BENCH: Bench = {
  name: 'decide',
  description: 'cost of grant decisions by queue length and engines',
  run: (options) => Promise.resolve(runDecideBench(options)),
};

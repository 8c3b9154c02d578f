import { DispatchPolicy } from '@sardinegrade/dispatch';

import { CallerOutcome } from '../../load/index.js';
import { requireAtLeast, requireAtMost } from '../runner/index.js';
import {
  buildClassTable,
  buildEngines,
  computeCapacity,
  computePayingAttainment,
  countGoodTokens,
  countOutcome,
  countUnfairRefusals,
  createLoadClass,
  describeScenario,
  HISTORY,
  QUERY,
  REPORT,
  runScenario,
  toLabelledRuns,
  WORKSPACES,
} from '../support/index.js';

import type { LoadProfile } from '../../load/index.js';
import type { Bench, BenchTable } from '../runner/index.js';
import type { Scenario, ScenarioResult } from '../support/index.js';

const ENGINES = 6;
const VMS = 3;
const DURATION_MS = 20_000;
const MEASURED_WINDOW = { fromMs: 5_000, untilMs: DURATION_MS };

/** Demand by class as a fraction of capacity; with the bursts, the sum averages about 2. */
const DEMAND = { query: 0.25, report: 0.2, history: 1.45 };

/** During a burst of queries, the combined demand of the paying classes is just below the capacity. */
const BURSTS = [
  { fromMs: 6_000, untilMs: 9_000, factor: 3 },
  { fromMs: 14_000, untilMs: 17_000, factor: 3 },
];

const CAPACITY = computeCapacity() * ENGINES;

const buildProfile = (seed: number): LoadProfile => ({
  seed,
  durationMs: DURATION_MS,
  classes: [
    createLoadClass(QUERY, DEMAND.query * CAPACITY, { bursts: BURSTS }),
    createLoadClass(REPORT, DEMAND.report * CAPACITY),
    createLoadClass(HISTORY, DEMAND.history * CAPACITY),
  ],
});

const buildScenario = (seed: number, report: (line: string) => void): Scenario => ({
  cluster: {
    dataCentres: [
      {
        name: 'dc-a',
        vms: Array.from({ length: VMS }, () => ({})),
        engines: buildEngines(ENGINES),
      },
    ],
    classes: [QUERY.cluster, REPORT.cluster, HISTORY.cluster],
    workspaces: WORKSPACES,
  },
  profile: buildProfile(seed),
  report,
});

interface Figures {
  readonly goodputPart: number;
  readonly freeShare: number;
  readonly unfairRefusals: number;
}

const computeFigures = (scenario: ScenarioResult): Figures => {
  const tokens = countGoodTokens(scenario.results, MEASURED_WINDOW);
  const total = [...tokens.values()].reduce((sum, count) => sum + count, 0);
  const capacityTokens = (CAPACITY * (MEASURED_WINDOW.untilMs - MEASURED_WINDOW.fromMs)) / 1_000;
  return {
    goodputPart: total / capacityTokens,
    freeShare: (tokens.get(HISTORY.cluster.name) ?? 0) / total,
    unfairRefusals: countUnfairRefusals(scenario.results),
  };
};

const buildTable = (scenarios: readonly ScenarioResult[]): BenchTable => ({
  title: `Together (capacity ${Math.round(CAPACITY)} tokens a second, prompts left out)`,
  columns: ['policy', 'paying attained', 'goodput/capacity', 'free share', 'unfair', 'wasted'],
  rows: scenarios.map((scenario) => {
    const { goodputPart, freeShare, unfairRefusals } = computeFigures(scenario);
    const attained = computePayingAttainment(scenario);
    const { policy, wastedPart } = scenario;
    return [policy, attained, goodputPart, freeShare, unfairRefusals, wastedPart];
  }),
});

/** Compares the policies under demand of twice the capacity, with bursts in one paying class. */
export const OVERLOAD_BENCH: Bench = {
  name: 'overload',
  description: 'demand at twice the capacity, bursts of paying queries',
  run: async ({ seed, report }) => {
    const scenario = buildScenario(seed, report);
    const product = await runScenario(scenario, DispatchPolicy.Tiered);
    const naive = await runScenario(scenario, DispatchPolicy.Naive);
    const figures = computeFigures(product);
    const minimumShare = HISTORY.cluster.minimumShare ?? 0;
    return {
      tables: [buildClassTable([product, naive]), buildTable([product, naive])],
      targets: [
        requireAtLeast('paying attainment', computePayingAttainment(product), 0.99),
        requireAtMost(
          'paying refusals while a lower tier holds a place',
          figures.unfairRefusals,
          0,
        ),
        requireAtLeast('free share', figures.freeShare, minimumShare),
        requireAtLeast('goodput as a part of capacity', figures.goodputPart, 0.95),
        requireAtMost('wrong answers', countOutcome(product, CallerOutcome.Wrong), 0),
        requireAtMost('false "not run"', product.falseNotRun, 0),
      ],
      runs: toLabelledRuns([product, naive]),
      figures: {
        product: { ...describeScenario(product), ...figures },
        naive: { ...describeScenario(naive), ...computeFigures(naive) },
      },
    };
  },
};

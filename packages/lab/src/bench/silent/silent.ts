import { CallerOutcome, hasMetTargets } from '../../load/index.js';
import { requireAtLeast, requireAtMost } from '../runner/index.js';
import {
  buildClassTable,
  buildCluster,
  buildProfile,
  countOutcome,
  describeScenario,
  runComparison,
  toLabelledRuns,
  waitUnlessAborted,
} from '../support/index.js';

import type { Cluster } from '../../harness/index.js';
import type { Bench, BenchTable } from '../runner/index.js';
import type { ScenarioResult, TimeWindow } from '../support/index.js';

const ENGINES = 6;
const VMS = 3;
const DURATION_MS = 24_000;
const DEMAND = { query: 0.25, report: 0.15, history: 0.15 };

const PAUSE_AT_MS = 8_000;
const PAUSED_ENGINES = 3;

/** The longest time that a daemon waits for a first token before it times out, over all paying classes. */
const PROGRESS_DEADLINE_MS = 5_000;

const BEFORE_PAUSE: TimeWindow = { fromMs: 1_000, untilMs: PAUSE_AT_MS - 3_000 };
const AFTER_DEADLINE: TimeWindow = {
  fromMs: PAUSE_AT_MS + PROGRESS_DEADLINE_MS,
  untilMs: DURATION_MS,
};

const pauseConnections = async (cluster: Cluster, signal: AbortSignal): Promise<void> => {
  if (!(await waitUnlessAborted(PAUSE_AT_MS, signal))) return;
  for (const engine of cluster.engines.slice(0, PAUSED_ENGINES)) engine.proxy?.pauseExisting();
};

const computeAttainment = (scenario: ScenarioResult, window: TimeWindow): number => {
  const paying = scenario.results.filter(
    ({ request, atMs }) =>
      request.loadClass.isPaying && atMs >= window.fromMs && atMs < window.untilMs,
  );
  return paying.filter(hasMetTargets).length / Math.max(1, paying.length);
};

const buildTable = (scenarios: readonly ScenarioResult[]): BenchTable => ({
  title: 'Paying attainment by the time of arrival',
  columns: ['policy', 'before', 'within the progress deadline', 'after it', 'wasted'],
  rows: scenarios.map((scenario) => [
    scenario.policy,
    computeAttainment(scenario, BEFORE_PAUSE),
    computeAttainment(scenario, { fromMs: BEFORE_PAUSE.untilMs, untilMs: AFTER_DEADLINE.fromMs }),
    computeAttainment(scenario, AFTER_DEADLINE),
    scenario.wastedPart,
  ]),
});

/** Open connections to half of the engines stop carrying data permanently; new connections work. */
export const SILENT_BENCH: Bench = {
  name: 'silent',
  description: 'open connections to half of the engines go mute, new ones work',
  run: async ({ seed, report }) => {
    const { product, naive } = await runComparison({
      cluster: buildCluster(VMS, ENGINES, { hasProxy: true }),
      profile: buildProfile(seed, DURATION_MS, ENGINES, DEMAND),
      injectFaults: pauseConnections,
      report,
    });
    const before = computeAttainment(product, BEFORE_PAUSE);
    return {
      tables: [buildClassTable([product, naive]), buildTable([product, naive])],
      targets: [
        requireAtLeast(
          'paying attainment after the progress deadline',
          computeAttainment(product, AFTER_DEADLINE),
          before,
        ),
        requireAtMost('wrong answers', countOutcome(product, CallerOutcome.Wrong), 0),
        requireAtMost('cut answers', countOutcome(product, CallerOutcome.Truncated), 0),
        requireAtMost('callers who gave up', countOutcome(product, CallerOutcome.TimedOut), 0),
        requireAtMost('false "not run"', product.falseNotRun, 0),
      ],
      runs: toLabelledRuns([product, naive]),
      figures: { product: describeScenario(product), naive: describeScenario(naive) },
    };
  },
};

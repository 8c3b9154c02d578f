import { CallerOutcome } from '../../load/index.js';
import { requireAtMost } from '../runner/index.js';
import {
  buildClassTable,
  buildCluster,
  buildProfile,
  computePayingAttainment,
  countOutcome,
  describeScenario,
  runComparison,
  toLabelledRuns,
  waitUnlessAborted,
} from '../support/index.js';

import type { Cluster } from '../../harness/index.js';
import type { RequestResult } from '../../load/index.js';
import type { Bench, BenchTable } from '../runner/index.js';
import type { ScenarioResult } from '../support/index.js';

const ENGINES = 6;
const VMS = 3;
const DURATION_MS = 20_000;
const DEMAND = { query: 0.25, report: 0.2, history: 0.2 };

const ENGINE_KILL_INTERVAL_MS = 4_000;
const RESTART_AFTER_MS = 1_000;
const DAEMON_KILL_AT_MS = 10_000;
const KILL_MARGIN_MS = 500;

const abortEngines = async (cluster: Cluster, signal: AbortSignal): Promise<void> => {
  for (let round = 0; await waitUnlessAborted(ENGINE_KILL_INTERVAL_MS, signal); round += 1) {
    const engine = cluster.engines[round % cluster.engines.length];
    await engine?.abort();
    if (!(await waitUnlessAborted(RESTART_AFTER_MS, signal))) return;
    await engine?.start();
  }
};

const abortDaemon = async (cluster: Cluster, signal: AbortSignal): Promise<void> => {
  if (!(await waitUnlessAborted(DAEMON_KILL_AT_MS, signal))) return;
  await cluster.entries.at(-1)?.process.abort();
};

/** Whether the request was sent to the daemon that is killed, so that its connection may have broken. */
const isOnKilledDaemon = ({ request, atMs }: RequestResult): boolean =>
  request.number % VMS === VMS - 1 && atMs < DAEMON_KILL_AT_MS + KILL_MARGIN_MS;

const BROKEN_OUTCOMES: ReadonlySet<CallerOutcome> = new Set([
  CallerOutcome.Truncated,
  CallerOutcome.Failed,
  CallerOutcome.Unreachable,
  CallerOutcome.TimedOut,
]);

/** Counts requests that got neither a complete answer nor a refusal although their daemon kept running. */
const countBroken = (scenario: ScenarioResult): number =>
  scenario.results.filter(
    (result) => BROKEN_OUTCOMES.has(result.outcome) && !isOnKilledDaemon(result),
  ).length;

/** Computes the share of all generated tokens that were in answers cut by the kill of their daemon. */
const computeDaemonWaste = (scenario: ScenarioResult): number => {
  const cut = scenario.results.filter(
    (result) => result.outcome === CallerOutcome.Truncated && isOnKilledDaemon(result),
  );
  return cut.reduce((sum, { tokens }) => sum + tokens, 0) / scenario.engineTokens;
};

const describeRun = (scenario: ScenarioResult): Readonly<Record<string, unknown>> => ({
  ...describeScenario(scenario),
  broken: countBroken(scenario),
  wasted_with_daemon: computeDaemonWaste(scenario),
});

const buildTable = (scenarios: readonly ScenarioResult[]): BenchTable => ({
  title: 'Together',
  columns: [
    'policy',
    'paying attained',
    'broken on living daemons',
    'wasted',
    'of it, with the killed daemon',
    'false not run',
  ],
  rows: scenarios.map((scenario) => [
    scenario.policy,
    computePayingAttainment(scenario),
    countBroken(scenario),
    scenario.wastedPart,
    computeDaemonWaste(scenario),
    scenario.falseNotRun,
  ]),
});

/** Kills and restarts engines in turn, and kills one daemon, while the load runs. */
export const CRASH_BENCH: Bench = {
  name: 'crash',
  description: 'engines and a daemon killed under load',
  run: async ({ seed, report }) => {
    const { product, naive } = await runComparison({
      cluster: buildCluster(VMS, ENGINES),
      profile: buildProfile(seed, DURATION_MS, ENGINES, DEMAND),
      injectFaults: async (cluster, signal) => {
        await Promise.all([abortEngines(cluster, signal), abortDaemon(cluster, signal)]);
      },
      report,
    });
    return {
      tables: [buildClassTable([product, naive]), buildTable([product, naive])],
      targets: [
        requireAtMost('wrong answers', countOutcome(product, CallerOutcome.Wrong), 0),
        requireAtMost('neither whole nor refused, living daemons', countBroken(product), 0),
        requireAtMost('false "not run"', product.falseNotRun, 0),
        requireAtMost('wasted tokens, as a part of all', product.wastedPart, 0.02),
      ],
      runs: toLabelledRuns([product, naive]),
      figures: {
        product: describeRun(product),
        naive: describeRun(naive),
      },
    };
  },
};

import { getWorkspaceKey } from '../../harness/index.js';
import { requireAtLeast, requireAtMost } from '../runner/index.js';
import {
  buildClassTable,
  buildCluster,
  buildProfile,
  computePayingAttainment,
  describeScenario,
  runComparison,
  toLabelledRuns,
  waitUnlessAborted,
  WORKSPACES,
} from '../support/index.js';

import type { Cluster, EngineProcess } from '../../harness/index.js';
import type { Bench, BenchTable } from '../runner/index.js';
import type { ScenarioResult } from '../support/index.js';

const ENGINES = 6;
const VMS = 3;
const DURATION_MS = 20_000;
const DEMAND = { query: 0.25, report: 0.2, history: 0.2 };

const CRASH_MARKER = 'crack-the-engine';
const SEND_INTERVAL_MS = 200;
const RESTART_AFTER_MS = 1_000;
const LOST_ENGINES_LIMIT = 2;

/** Waits until an engine's process exits; resolves to false if the run ends first. */
const waitForCrash = (engine: EngineProcess, signal: AbortSignal): Promise<boolean> =>
  new Promise((resolve) => {
    if (signal.aborted) resolve(false);
    signal.addEventListener('abort', () => resolve(false), { once: true });
    void engine.process.exited.then(() => resolve(!signal.aborted));
  });

const keepEngineRunning = async (engine: EngineProcess, signal: AbortSignal): Promise<void> => {
  while (await waitForCrash(engine, signal)) {
    if (!(await waitUnlessAborted(RESTART_AFTER_MS, signal))) return;
    await engine.start();
  }
};

/** Sends the same crashing request repeatedly until the run ends, through each daemon in turn. */
const sendPoison = async (cluster: Cluster, signal: AbortSignal): Promise<void> => {
  const body = JSON.stringify({
    model: 'drill-7b',
    stream: true,
    messages: [{ role: 'user', content: CRASH_MARKER }],
  });
  const headers = { authorization: `Bearer ${getWorkspaceKey(WORKSPACES[0] ?? '')}` };
  for (let round = 0; await waitUnlessAborted(SEND_INTERVAL_MS, signal); round += 1) {
    const { addresses } = cluster;
    const address = addresses[round % addresses.length] ?? '';
    const url = `${address}/v1/chat/completions`;
    await fetch(url, { method: 'POST', headers, body, signal }).then(
      (response) => response.text(),
      () => undefined,
    );
  }
};

const buildTable = (scenarios: readonly ScenarioResult[]): BenchTable => ({
  title: 'Together',
  columns: ['policy', 'engine crashes', 'paying attained', 'wasted'],
  rows: scenarios.map((scenario) => [
    scenario.policy,
    scenario.engineCrashes,
    computePayingAttainment(scenario),
    scenario.wastedPart,
  ]),
});

/** A request that crashes every engine that runs it is sent repeatedly among normal load. */
export const POISON_BENCH: Bench = {
  name: 'poison',
  description: 'a request that crashes its engine, resent for ever among healthy ones',
  run: async ({ seed, report }) => {
    const { product, naive } = await runComparison({
      cluster: buildCluster(VMS, ENGINES, { flags: { 'crash-marker': CRASH_MARKER } }),
      profile: buildProfile(seed, DURATION_MS, ENGINES, DEMAND),
      injectFaults: async (cluster, signal) => {
        const restarts = cluster.engines.map((engine) => keepEngineRunning(engine, signal));
        await Promise.all([sendPoison(cluster, signal), ...restarts]);
      },
      report,
    });
    return {
      tables: [buildClassTable([product, naive]), buildTable([product, naive])],
      targets: [
        requireAtMost('engines lost', product.engineCrashes, LOST_ENGINES_LIMIT),
        requireAtLeast('engines lost to the naive policy', naive.engineCrashes, 1),
        requireAtMost('false "not run"', product.falseNotRun, 0),
      ],
      runs: toLabelledRuns([product, naive]),
      figures: { product: describeScenario(product), naive: describeScenario(naive) },
    };
  },
};

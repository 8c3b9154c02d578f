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
} from '../support/index.js';

import type { Cluster } from '../../harness/index.js';
import type { Bench } from '../runner/index.js';

const ENGINES = 6;
const VMS = 3;
const DURATION_MS = 20_000;
const SLOW_AFTER_MS = 4_000;
const SLOWDOWN = 10;
const REPORT_LAG_MS = 5_000;
const DEMAND = { query: 0.25, report: 0.2, history: 0.2 };

const setOneEngineSlow = async (cluster: Cluster, signal: AbortSignal): Promise<void> => {
  if (!(await waitUnlessAborted(SLOW_AFTER_MS, signal))) return;
  await cluster.engines[0]?.setBehaviour({ slowdown: SLOWDOWN });
};

/** One engine runs at a tenth of its speed while the load reports of all engines arrive late. */
export const STRAGGLER_BENCH: Bench = {
  name: 'straggler',
  description: 'one engine at a tenth of its speed, load reports 5 s late',
  run: async ({ seed, report }) => {
    const { product, naive } = await runComparison({
      cluster: buildCluster(VMS, ENGINES, { flags: { 'load-lag-ms': REPORT_LAG_MS } }),
      profile: buildProfile(seed, DURATION_MS, ENGINES, DEMAND),
      injectFaults: setOneEngineSlow,
      report,
    });
    return {
      tables: [buildClassTable([product, naive])],
      targets: [
        requireAtLeast('paying attainment', computePayingAttainment(product), 0.97),
        requireAtMost('false "not run"', product.falseNotRun, 0),
      ],
      runs: toLabelledRuns([product, naive]),
      figures: { product: describeScenario(product), naive: describeScenario(naive) },
    };
  },
};

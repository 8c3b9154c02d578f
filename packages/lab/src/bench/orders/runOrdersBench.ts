import { runOrderSchedule } from '../../model/orders/index.js';
import { Simulation } from '../../model/orders/Simulation.js';
import { runLayout } from './runLayout.js';
import { runOutage } from './runOutage.js';
import { RecordLayout } from './types.js';

import type { OrderSchedule, OrderVerdict, PlannedSubmission } from '../../model/orders/index.js';
import type { LayoutFigures, OrdersBenchReport, OrdersTarget, OutageFigures } from './types.js';

/** The inputs of the benchmark. */
export interface OrdersBenchOptions {
  readonly seed: number;
}

const DAEMONS = 7;
const ORDER_KEYS = 200;
const REPEATS_PER_KEY = 3;
const SUBMISSION_PERIOD_MS = 200_000;
const CONCURRENCY = 8;
const LAYOUT_DURATION_MS = 10_000;
const PLATFORM_WRITES_PER_SECOND = 500;
/** Orders per second, from the current rate to a fifth of all requests expected in two years. */
const ORDER_RATES = [20, 100, 185, 370, 740];
const OUTAGE = { atMs: 60_000, durationMs: 60_000 };

const buildSubmissions = (world: Simulation): readonly PlannedSubmission[] => {
  const submissions: PlannedSubmission[] = [];
  for (let key = 0; key < ORDER_KEYS; key += 1) {
    const firstMs = world.pickBetween(0, SUBMISSION_PERIOD_MS);
    const daemon = Math.floor(world.pickBetween(0, DAEMONS));
    submissions.push({ atMs: firstMs, key, daemon, isBroadcast: world.pickBoolean(0.2) });
    for (let repeat = 0; repeat < REPEATS_PER_KEY; repeat += 1) {
      const atMs = firstMs + world.pickBetween(0, 40_000);
      submissions.push({ atMs, key, daemon: daemon + repeat, isBroadcast: world.pickBoolean(0.2) });
    }
  }
  return submissions;
};

/**
 * Builds a schedule with seven VMs, an outage of 60 s, lost and late answers, paused and crashing
 * daemons, and repeated requests through other VMs.
 */
const buildSchedule = (seed: number): OrderSchedule => ({
  seed,
  daemons: DAEMONS,
  concurrency: CONCURRENCY,
  hasLookup: true,
  chances: {
    refused: 0.01,
    lostAnswer: 0.03,
    lostWrite: 0.02,
    delayedWrite: 0.02,
    duplicatedWrite: 0.02,
    slow: 0.05,
    pause: 0.002,
    pauseBeforeCall: 0.02,
    crash: 0.001,
    notConnected: 0.03,
    lostServiceAnswer: 0.03,
    lostCall: 0.02,
    slowCall: 0.03,
  },
  submissions: buildSubmissions(new Simulation(seed)),
  outages: [OUTAGE],
  operatorAtMs: [50_000, 100_000, 150_000, 200_000],
});

const buildTarget = (name: string, figure: number, bound: number): OrdersTarget => ({
  name,
  bound,
  figure,
  met: figure <= bound,
});

const buildTargets = (product: OrderVerdict, outage: OutageFigures): readonly OrdersTarget[] => [
  buildTarget('run_twice', product.runTwice, 0),
  buildTarget('lost', product.lost + product.unsettled, 0),
  buildTarget('false_not_run', product.falseNotRun, 0),
  buildTarget('differing_answers', product.differingAnswers, 0),
  buildTarget('deduplicating_refused_in_outage', 1 - outage.deduplicating, 0),
  buildTarget('recorded_not_refused_as_not_run', 1 - outage.recordedRefusedAsNotRun, 0),
];

const runLayouts = async (seed: number): Promise<readonly LayoutFigures[]> => {
  const figures: LayoutFigures[] = [];
  for (const ordersPerSecond of ORDER_RATES) {
    for (const layout of Object.values(RecordLayout)) {
      figures.push(
        await runLayout({
          seed,
          layout,
          daemons: DAEMONS,
          ordersPerSecond,
          durationMs: LAYOUT_DURATION_MS,
          writesPerSecond: PLATFORM_WRITES_PER_SECOND,
        }),
      );
    }
  }
  return figures;
};

/**
 * Runs the virtual-time part of the benchmark: faults for the product and the naive version, an
 * outage, and the record layouts. Time is virtual, so latencies include waits for the platform and
 * the service, but no processor time.
 *
 * @param options - the seed of all random choices
 * @returns targets and figures
 */
export const runOrdersBench = async ({ seed }: OrdersBenchOptions): Promise<OrdersBenchReport> => {
  const schedule = buildSchedule(seed);
  const product = await runOrderSchedule(schedule);
  const naive = await runOrderSchedule(schedule, { isNaive: true });
  const outageAvailability = await runOutage(seed);
  const targets = buildTargets(product, outageAvailability);
  return {
    ok: targets.every(({ met }) => met),
    targets,
    seed,
    product,
    naive,
    outageAvailability,
    layouts: await runLayouts(seed),
  };
};

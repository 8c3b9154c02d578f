import { requireAtMost } from '../runner/index.js';
import { runOrdersBench } from './runOrdersBench.js';
import { runRealOrders } from './runRealOrders.js';

import type { OrderVerdict } from '../../model/orders/index.js';
import type { Bench, BenchTable } from '../runner/index.js';
import type { OrdersBenchReport } from './types.js';

const buildFaultTable = (report: OrdersBenchReport): BenchTable => {
  const buildRow = (version: string, verdict: OrderVerdict) => [
    version,
    verdict.executions,
    verdict.runTwice,
    verdict.lost,
    verdict.falseNotRun,
    verdict.differingAnswers,
    verdict.unsettled,
  ];
  return {
    title: 'Model: 200 orders, 7 daemons, 60 s outage, pauses, crashes, lost and late answers',
    columns: ['version', 'executions', 'run twice', 'lost', 'false not run', 'differing', 'open'],
    rows: [buildRow('product', report.product), buildRow('naive', report.naive)],
  };
};

const buildLayoutTable = ({ layouts }: OrdersBenchReport): BenchTable => ({
  title: 'Layouts of records, virtual time, platform of 500 writes a second',
  columns: ['layout', 'orders/s', 'writes/order', 'reads/order', 'answered', 'p50', 'p95', 'p99'],
  rows: layouts.map((figures) => [
    figures.layout,
    figures.ordersPerSecond,
    figures.writesPerOrder,
    figures.readsPerOrder,
    figures.answeredShare,
    figures.p50Ms,
    figures.p95Ms,
    figures.p99Ms,
  ]),
});

/**
 * Measures orders that must run at most once: a fault model compared with the naive version, record
 * layouts in virtual time, and real daemons.
 */
export const ORDERS_BENCH: Bench = {
  name: 'orders',
  description: 'outage, lost write answers, paused daemons, resends through every VM',
  run: async ({ seed, report }) => {
    report('fault model, outage and record layouts in virtual time');
    const model = await runOrdersBench({ seed });
    report('orders through real daemons');
    const real = await runRealOrders(report);
    return {
      tables: [buildFaultTable(model), buildLayoutTable(model)],
      targets: [
        requireAtMost('run_twice', model.product.runTwice + real.runTwice, 0),
        requireAtMost('lost', model.product.lost + model.product.unsettled + real.lost, 0),
        requireAtMost('false_not_run', model.product.falseNotRun + real.falseNotRun, 0),
        requireAtMost('differing_answers', model.product.differingAnswers, 0),
        requireAtMost('refused_of_deduplicating_in_outage', 1 - real.outage.deduplicating, 0),
      ],
      figures: {
        run_twice: model.product.runTwice + real.runTwice,
        lost: model.product.lost + model.product.unsettled + real.lost,
        false_not_run: model.product.falseNotRun + real.falseNotRun,
        model: { product: model.product, naive: model.naive, outage: model.outageAvailability },
        layouts: model.layouts,
        real,
      },
    };
  },
};

/** The benchmark `observe`: the cost of spans, metrics and the journal at the size expected in two years. */
import { measureObservation } from './measureObservation.js';

import type { Bench } from '../runner/index.js';

const REQUESTS = 50_000;

/** Requests that one daemon receives at peak load while one data centre is down. */
const PEAK_REQUESTS_PER_SECOND = 11;

/**
 * Observability may use a twentieth of the CPU budget of fleet membership and configuration, which
 * is 2.5 % of a core; the memory budget of those is 32 MB.
 */
const CORE_SHARE_LIMIT = 0.025 / 20;
const HELD_MB_LIMIT = 16;

const US_PER_SECOND = 1_000_000;

/** Measures processor time and memory of observability, per request and in total. */
export const OBSERVE_BENCH: Bench = {
  name: 'observe',
  description: 'cost of spans, metrics and the journal for one daemon with 360 workspaces',
  run: () => {
    const cost = measureObservation(REQUESTS);
    const coreShare = (cost.requestUs * PEAK_REQUESTS_PER_SECOND) / US_PER_SECOND;
    const targets = [
      {
        name: 'core share at the peak',
        bound: `<= ${CORE_SHARE_LIMIT}`,
        figure: coreShare,
        met: coreShare <= CORE_SHARE_LIMIT,
      },
      {
        name: 'megabytes held',
        bound: `<= ${HELD_MB_LIMIT}`,
        figure: cost.heldMb,
        met: cost.heldMb <= HELD_MB_LIMIT,
      },
    ];
    const table = {
      title: `${REQUESTS} requests, 16 services of 4 classes, 360 workspaces`,
      columns: ['us a request', 'ms to render', 'bytes rendered', 'MB held'],
      rows: [
        [
          cost.requestUs.toFixed(1),
          cost.renderMs.toFixed(1),
          cost.renderedBytes,
          cost.heldMb.toFixed(1),
        ],
      ],
    };
    return Promise.resolve({ tables: [table], targets, figures: { ...cost, coreShare } });
  },
};

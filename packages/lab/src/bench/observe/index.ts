/** What spans, metrics and the journal cost a daemon at two years' size. */
import { measureObservation } from './measureObservation.js';

import type { Bench } from '../runner/index.js';

const REQUESTS = 50_000;

/** Requests a second of one daemon at the peak, and with one data centre lost. */
const PEAK_REQUESTS = 11;

/** Observation may take a twentieth of what control may: 2.5 % of a core and 32 MB. */
const CORE_SHARE_BOUND = 0.025 / 20;
const HELD_MB_BOUND = 16;

const US_PER_SECOND = 1_000_000;

/** The bench of observation. */
export const OBSERVE_BENCH: Bench = {
  name: 'observe',
  description: 'cost of spans, metrics and the journal for one daemon with 360 workspaces',
  run: () => {
    const cost = measureObservation(REQUESTS);
    const coreShare = (cost.requestUs * PEAK_REQUESTS) / US_PER_SECOND;
    const targets = [
      {
        name: 'core share at the peak',
        bound: `<= ${CORE_SHARE_BOUND}`,
        figure: coreShare,
        met: coreShare <= CORE_SHARE_BOUND,
      },
      {
        name: 'megabytes held',
        bound: `<= ${HELD_MB_BOUND}`,
        figure: cost.heldMb,
        met: cost.heldMb <= HELD_MB_BOUND,
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

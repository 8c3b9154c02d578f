import { createRequire } from 'node:module';

import type { StateChart } from '@sardinegrade/common';

/** State chart of a lease. `tools/bundleRole.js` replaces this module by the content of the chart's file. */
export const LEASE_CHART = createRequire(import.meta.url)('./lease.json') as StateChart;

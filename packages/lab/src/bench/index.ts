/** The table of all benches; a new one is registered here. */
import { CONFIG_BENCH } from './config/index.js';
import { CONTROL_BENCH } from './control/index.js';

import type { Bench } from './runner/index.js';

export * from './runner/index.js';

export const BENCHES: readonly Bench[] = [CONFIG_BENCH, CONTROL_BENCH];

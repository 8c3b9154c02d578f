/** The registry of all benchmarks; a new one is added to BENCHES. */
import { CONFIG_BENCH } from './config/index.js';
import { CONTROL_BENCH } from './control/index.js';
import { CRASH_BENCH } from './crash/index.js';
import { DECIDE_BENCH } from './decide/index.js';
import { ORDERS_BENCH } from './orders/index.js';
import { OBSERVE_BENCH } from './observe/index.js';
import { OVERLOAD_BENCH } from './overload/index.js';
import { POISON_BENCH } from './poison/index.js';
import { RELAY_BENCH } from './relay/index.js';
import { SILENT_BENCH } from './silent/index.js';
import { STRAGGLER_BENCH } from './straggler/index.js';

import type { Bench } from './runner/index.js';

export * from './runner/index.js';

export const BENCHES: readonly Bench[] = [
  RELAY_BENCH,
  OVERLOAD_BENCH,
  STRAGGLER_BENCH,
  CRASH_BENCH,
  POISON_BENCH,
  SILENT_BENCH,
  DECIDE_BENCH,
  CONFIG_BENCH,
  CONTROL_BENCH,
  ORDERS_BENCH,
  OBSERVE_BENCH,
];

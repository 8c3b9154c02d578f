/** The table of all benches; a new one is registered here. */
import { DECIDE_BENCH } from './decide/index.js';

import type { Bench } from './runner/index.js';

export * from './runner/index.js';

export const BENCHES: readonly Bench[] = [DECIDE_BENCH];

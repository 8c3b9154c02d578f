import { BENCH_COMMAND } from './bench.js';
import { DEMO_COMMAND } from './demo.js';
import { LOAD_COMMAND } from './load.js';
import { PROXY_COMMAND } from './proxy.js';
import { STAND_IN_COMMANDS } from './standIns.js';

import type { LabCommand } from '../types.js';

/** All subcommands of `sardinegrade-lab`. */
export const LAB_COMMANDS: readonly LabCommand[] = [
  ...STAND_IN_COMMANDS,
  PROXY_COMMAND,
  BENCH_COMMAND,
  LOAD_COMMAND,
  DEMO_COMMAND,
];

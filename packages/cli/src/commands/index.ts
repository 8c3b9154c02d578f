/** Command table of the program. */
import { CONFIGURATION_COMMANDS } from './configuration.js';
import { DRAIN_COMMANDS } from './drains.js';
import { EXPLAIN_COMMANDS } from './explain.js';
import { ORDER_COMMANDS } from './orders.js';
import { STATUS_COMMANDS } from './status.js';

import type { Command } from '../types.js';

/** Every command, in the order in which the help lists them. */
export const COMMANDS: readonly Command[] = [
  ...CONFIGURATION_COMMANDS,
  ...STATUS_COMMANDS,
  ...DRAIN_COMMANDS,
  ...ORDER_COMMANDS,
  ...EXPLAIN_COMMANDS,
];

import { LogLevel } from '@sardinegrade/common';

import { runDemo } from '../../demo/index.js';
import { OPTION_SCHEMAS, readOptions } from '../options.js';

import type { LabCommand } from '../types.js';

const DEMO_OPTIONS = {
  stay: { schema: OPTION_SCHEMAS.flag, description: 'keep the system running after the requests' },
  port: {
    schema: OPTION_SCHEMAS.count,
    description: 'port on which the first VM accepts callers (0)',
  },
  logLevel: { schema: OPTION_SCHEMAS.text, description: 'error, warn, info or debug (error)' },
} as const;

const FAILED_EXIT_CODE = 1;

/** The subcommand that runs the demonstration. */
export const DEMO_COMMAND: LabCommand = {
  name: 'demo',
  description: 'Run a complete small system in one process and send requests through it',
  options: DEMO_OPTIONS,
  run: async (flags) => {
    const options = readOptions('demo', DEMO_OPTIONS, flags);
    const ok = await runDemo(
      {
        port: options.port ?? 0,
        logLevel: options.logLevel ?? LogLevel.Error,
        shouldKeepRunning: options.stay ?? false,
      },
      (line) => process.stdout.write(`${line}\n`),
    );
    process.exit(ok ? 0 : FAILED_EXIT_CODE);
  },
};

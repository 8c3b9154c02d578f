#!/usr/bin/env node
import { loadSettings, SettingsError } from '@sardinegrade/common';
import { cac } from 'cac';

import { runController } from '../runController.js';
import { CONTROLLER_SETTINGS_SCHEMA } from '../settings/index.js';

/** Entry point of `sardinegrade-controller`. */

const FAILURE_EXIT_CODE = 1;

const start = async (config: string): Promise<void> => {
  const controller = await runController(loadSettings(config, CONTROLLER_SETTINGS_SCHEMA));
  const announcement = { event: 'listening', administration: controller.address };
  process.stdout.write(`${JSON.stringify(announcement)}\n`);
  let isStopping = false;
  const stop = (): void => {
    // A second signal exits without waiting for the shutdown.
    if (isStopping) process.exit(FAILURE_EXIT_CODE);
    isStopping = true;
    void controller.stop().finally(() => process.exit(0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
};

const cli = cac('sardinegrade-controller');

cli
  .command('', 'Run the controller that sends orders to engines')
  .option('--config <file>', 'Settings file')
  .action(async (options: { readonly config?: unknown }) => {
    if (typeof options.config !== 'string') throw new Error('--config <file> is required');
    await start(options.config);
  });

cli.help();

const runMain = async (): Promise<void> => {
  try {
    cli.parse(process.argv, { run: false });
    await cli.runMatchedCommand();
  } catch (error) {
    const message = error instanceof SettingsError ? error.message : String(error);
    process.stderr.write(`${message}\n`);
    process.exitCode = FAILURE_EXIT_CODE;
  }
};

await runMain();

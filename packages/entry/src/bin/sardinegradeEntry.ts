#!/usr/bin/env node
import { loadSettings, SettingsError } from '@sardinegrade/common';
import { cac } from 'cac';

import { EntryDaemon } from '../daemon/index.js';
import { ENTRY_SETTINGS_SCHEMA } from '../settings/index.js';

import type { EntrySettings } from '../settings/index.js';

const VERSION = '0.1.0';
const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

const readSettings = (file: unknown): EntrySettings => {
  if (typeof file !== 'string') {
    process.stderr.write('sardinegrade-entry: --config FILE.ini is required; see --help.\n');
    process.exit(EXIT_BAD_SETTINGS);
  }
  try {
    return loadSettings(file, ENTRY_SETTINGS_SCHEMA);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
};

const handleSignals = (daemon: EntryDaemon): void => {
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) process.exit(EXIT_FAILED);
    isStopping = true;
    void daemon.shutDown().then(() => process.exit(0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
};

const runDaemon = async (settings: EntrySettings): Promise<void> => {
  const daemon = new EntryDaemon(settings);
  process.on('unhandledRejection', (error) => {
    daemon.logger.error('unhandled promise rejection', { error });
  });
  handleSignals(daemon);
  try {
    const addresses = await daemon.start();
    process.stdout.write(`${JSON.stringify({ event: 'listening', ...addresses })}\n`);
  } catch (error) {
    daemon.logger.error('daemon failed to start', { error });
    process.exit(EXIT_FAILED);
  }
};

const program = cac('sardinegrade-entry');
program
  .command('', 'Run the entry daemon of a VM')
  .option('--config <file>', 'Settings file (INI)')
  .example('sardinegrade-entry --config entry.ini')
  .action((options: { readonly config?: unknown }) => runDaemon(readSettings(options.config)));
program.help();
program.version(VERSION);
program.parse();

import {
  compareIniTexts,
  configurationSchema,
  diffSchema,
  generationSchema,
  historyEntrySchema,
  historySchema,
  statusSchema,
} from '@sardinegrade/common';
import { ConfigurationError, parseConfiguration } from '@sardinegrade/fleet';

import { ExitCode } from '../enums.js';
import { CommandError, UsageError } from '../errors.js';
import { hasFlag, parseGeneration, readGeneration, readText } from '../options.js';
import { renderChanges, renderHistory } from '../output/index.js';
import { waitUntilActive } from './waitUntilActive.js';

import type { FleetConfiguration } from '@sardinegrade/fleet';
import type { Command, CommandContext, CommandOptions, CommandResult } from '../types.js';

const TEXT_TYPE = 'text/plain; charset=utf-8';

const EXPECT_OPTION = {
  flags: '--expect <generation>',
  description: 'Refuse the change unless this generation is still in force',
};

const NO_WAIT_OPTION = {
  flags: '--no-wait',
  description: 'Do not wait until the change is in force everywhere',
};

const describeCounts = (configuration: FleetConfiguration): string =>
  `${configuration.services.size} services, ${configuration.workspaces.size} workspaces, ${configuration.upstreams.size} upstreams`;

const checkText = (path: string, text: string): FleetConfiguration => {
  try {
    return parseConfiguration(text, 0);
  } catch (error) {
    if (!(error instanceof ConfigurationError)) throw error;
    const lines = error.faults.map(
      ({ line, key, message }) => `${path}:${line}: ${key}: ${message}`,
    );
    const nextStep = `Correct ${lines.length === 1 ? 'this line' : 'these lines'}; docs/CONFIGURATION.md lists every key.`;
    throw new CommandError(ExitCode.Invalid, lines.join('\n'), nextStep);
  }
};

const checkConfigurationFile = async (
  { environment }: CommandContext,
  path: string,
): Promise<CommandResult> => {
  const configuration = checkText(path, await environment.readFile(path));
  const counts = {
    services: configuration.services.size,
    workspaces: configuration.workspaces.size,
    upstreams: configuration.upstreams.size,
  };
  return {
    value: { valid: true, ...counts },
    text: `${path} is valid: ${describeCounts(configuration)}.`,
  };
};

const runCheck = async (
  context: CommandContext,
  [path = '']: readonly string[],
  options: CommandOptions,
): Promise<CommandResult> => {
  const format = readText(options, 'as');
  if (format === undefined) return checkConfigurationFile(context, path);
  const { checkers, readFile } = context.environment;
  const checkFile = checkers[format];
  if (checkFile === undefined) {
    const formats = Object.keys(checkers).join(', ');
    throw new UsageError(`No form '${format}'.`, `Write --as with one of: ${formats}.`);
  }
  const { faults, summary } = checkFile(await readFile(path));
  if (faults.length === 0) return { value: { valid: true }, text: `${path} is valid: ${summary}.` };
  const lines = faults.map(({ key, message }) => `${path}: ${key}: ${message}`);
  throw new CommandError(
    ExitCode.Invalid,
    lines.join('\n'),
    'Correct these fields; docs/OPERATIONS.md tells what a VM does with them.',
  );
};

const runDiff = async (
  { environment, getClient }: CommandContext,
  [path = '', other]: readonly string[],
  options: CommandOptions,
): Promise<CommandResult> => {
  const text = await environment.readFile(path);
  checkText(path, text);
  const differenceExitCode = hasFlag(options, 'exitCode') ? ExitCode.Different : ExitCode.Success;
  if (other !== undefined) {
    const changes = compareIniTexts(text, await environment.readFile(other));
    const exitCode = changes.length === 0 ? ExitCode.Success : differenceExitCode;
    return { value: { changes }, text: renderChanges(changes), exitCode };
  }
  const diff = await getClient().change(diffSchema, {
    method: 'POST',
    path: '/v1/configuration/diff',
    body: text,
    contentType: TEXT_TYPE,
  });
  const exitCode = diff.changes.length === 0 ? ExitCode.Success : differenceExitCode;
  const head = `Against generation ${diff.generation}:`;
  return { value: diff, text: `${head}\n${renderChanges(diff.changes)}`, exitCode };
};

const readBaseGeneration = async (
  { getClient }: CommandContext,
  options: CommandOptions,
): Promise<number> => {
  const expected = readGeneration(options, 'expect');
  if (expected !== undefined) return expected;
  // Unlike the configuration, the status is also available before the first one is applied; it has generation 0 then.
  return (await getClient().read(statusSchema, '/v1/status')).generation;
};

const runApply = async (
  context: CommandContext,
  [path = '']: readonly string[],
  options: CommandOptions,
): Promise<CommandResult> => {
  const text = await context.environment.readFile(path);
  checkText(path, text);
  const record = await context.getClient().change(generationSchema, {
    method: 'PUT',
    path: '/v1/configuration',
    body: text,
    contentType: TEXT_TYPE,
    ifMatch: await readBaseGeneration(context, options),
  });
  return waitUntilActive(context, record, options);
};

const runRestore = async (
  context: CommandContext,
  [generation = '']: readonly string[],
  options: CommandOptions,
): Promise<CommandResult> => {
  const record = await context.getClient().change(generationSchema, {
    method: 'POST',
    path: `/v1/configuration/history/${parseGeneration(generation)}/restore`,
    ifMatch: await readBaseGeneration(context, options),
  });
  return waitUntilActive(context, record, options);
};

const runHistory = async (
  { getClient }: CommandContext,
  _args: readonly string[],
  options: CommandOptions,
): Promise<CommandResult> => {
  const limit = readText(options, 'limit') ?? '20';
  const path = `/v1/configuration/history?limit=${encodeURIComponent(limit)}`;
  const history = await getClient().read(historySchema, path);
  return { value: history, text: renderHistory(history.entries) };
};

const runShow = async (
  { getClient }: CommandContext,
  [generation]: readonly string[],
): Promise<CommandResult> => {
  const shown =
    generation === undefined
      ? await getClient().read(configurationSchema, '/v1/configuration')
      : await getClient().read(
          historyEntrySchema,
          `/v1/configuration/history/${parseGeneration(generation)}`,
        );
  return { value: shown, text: shown.text.replace(/\n$/, '') };
};

/** Commands that check, compare, apply, restore and show the configuration. */
export const CONFIGURATION_COMMANDS: readonly Command[] = [
  {
    usage: 'check <file>',
    description: 'Check a configuration text; needs no daemon',
    options: [
      {
        flags: '--as <form>',
        description: "A file of the users' platform instead: settings or configuration",
      },
    ],
    examples: [
      'sardinegrade check fleet.ini',
      'sardinegrade show | sardinegrade check -',
      'sardinegrade check node.json --as settings',
    ],
    isWatchable: false,
    run: runCheck,
  },
  {
    usage: 'diff <file> [other]',
    description: 'Compare a text with the one in force, or with another file',
    options: [{ flags: '--exit-code', description: 'Exit with 8 where the texts differ' }],
    examples: ['sardinegrade diff fleet.ini', 'sardinegrade diff old.ini new.ini --exit-code'],
    isWatchable: false,
    run: runDiff,
  },
  {
    usage: 'apply <file>',
    description: 'Make a text the next generation and wait until it is in force everywhere',
    options: [EXPECT_OPTION, NO_WAIT_OPTION],
    examples: ['sardinegrade apply fleet.ini', 'sardinegrade apply fleet.ini --expect 41'],
    isWatchable: false,
    run: runApply,
  },
  {
    usage: 'restore <generation>',
    description: 'Make the text of an old generation the next generation',
    options: [EXPECT_OPTION, NO_WAIT_OPTION],
    examples: ['sardinegrade restore 40 --expect 41'],
    isWatchable: false,
    run: runRestore,
  },
  {
    usage: 'history',
    description: 'List generations, newest first',
    options: [{ flags: '--limit <count>', description: 'Most entries wanted (20)' }],
    examples: ['sardinegrade history --limit 5'],
    isWatchable: true,
    run: runHistory,
  },
  {
    usage: 'show [generation]',
    description: 'Print the text in force, or that of an old generation',
    options: [],
    examples: ['sardinegrade show > fleet.ini', 'sardinegrade show 40'],
    isWatchable: false,
    run: runShow,
  },
];

import { readFileSync } from 'node:fs';

import { SardinegradeError } from '@sardinegrade/common';
import { cac } from 'cac';

import { LAB_COMMANDS } from './commands/index.js';
import { formatFlag, OPTION_SCHEMAS } from './options.js';

import type { CAC } from 'cac';
import type { LabCommand } from './types.js';

const USAGE_EXIT_CODE = 2;
const FAILURE_EXIT_CODE = 1;

const readVersion = (): string => {
  const file = new URL('../../package.json', import.meta.url);
  const { version } = JSON.parse(readFileSync(file, 'utf8')) as { readonly version: string };
  return version;
};

const registerCommand = (program: CAC, command: LabCommand): void => {
  const name = [command.name, command.positionals ?? ''].join(' ').trim();
  const registered = program.command(name, command.description);
  registered.option('--config <file>', `settings file; its section [${command.name}] is read`);
  for (const [option, { schema, description }] of Object.entries(command.options)) {
    const value = schema === OPTION_SCHEMAS.flag ? '[value]' : '<value>';
    registered.option(`--${formatFlag(option)} ${value}`, description);
  }
  registered.action((...parameters: readonly unknown[]) => {
    const flags = (parameters.at(-1) ?? {}) as Readonly<Record<string, unknown>>;
    const positionals = parameters
      .slice(0, -1)
      .filter((value) => value !== undefined)
      .map(String);
    return command.run(flags, positionals);
  });
};

const isUsageError = (error: unknown): boolean =>
  error instanceof SardinegradeError || (error instanceof Error && error.name === 'CACError');

/**
 * Runs `sardinegrade-lab`.
 *
 * @param argv - the command line, including the paths of Node.js and the script
 * @returns the exit code if no command was run or it failed; undefined if a command was run or is still serving
 */
export const runLab = async (argv: readonly string[]): Promise<number | undefined> => {
  const program = cac('sardinegrade-lab');
  for (const command of LAB_COMMANDS) registerCommand(program, command);
  program.help().version(readVersion());
  try {
    program.parse([...argv], { run: false });
    if (program.options.help === true || program.options.version === true) return 0;
    if (program.matchedCommand === undefined) {
      program.outputHelp();
      return USAGE_EXIT_CODE;
    }
    await program.runMatchedCommand();
    return undefined;
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    return isUsageError(error) ? USAGE_EXIT_CODE : FAILURE_EXIT_CODE;
  }
};

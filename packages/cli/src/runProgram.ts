import { cac } from 'cac';

import { createFleetClient } from './client/index.js';
import { COMMANDS } from './commands/index.js';
import { ExitCode } from './enums.js';
import { CommandError, UsageError } from './errors.js';
import { hasFlag, readClientOptions, readWatchInterval } from './options.js';
import { sanitizeOutput } from './output/index.js';

import type { CAC } from 'cac';
import type { FleetClient } from './client/index.js';
import type {
  Command,
  CommandContext,
  CommandOptions,
  CommandResult,
  Environment,
} from './types.js';

const JSON_INDENT = 2;

const CLEAR_SCREEN = '\u001b[2J\u001b[H';

type Action = () => Promise<ExitCode>;

const createContext = (environment: Environment, options: CommandOptions): CommandContext => {
  let client: FleetClient | undefined;
  const isQuiet = hasFlag(options, 'json') || hasFlag(options, 'quiet');
  return {
    environment,
    getClient: () => (client ??= createFleetClient(readClientOptions(options, environment))),
    reportProgress: (text) => {
      if (!isQuiet) environment.terminal.writeError(`${text}\n`);
    },
  };
};

const writeResult = (
  { terminal }: Environment,
  result: CommandResult,
  options: CommandOptions,
): void => {
  if (!hasFlag(options, 'json')) {
    terminal.writeOut(`${sanitizeOutput(result.text)}\n`);
    return;
  }
  const indent = terminal.isInteractive ? JSON_INDENT : 0;
  terminal.writeOut(`${JSON.stringify(result.value, null, indent)}\n`);
};

const watchCommand = async (
  environment: Environment,
  options: CommandOptions,
  intervalMs: number,
  runOnce: () => Promise<CommandResult>,
): Promise<ExitCode> => {
  const { terminal, signal, sleep } = environment;
  while (!signal.aborted) {
    const result = await runOnce();
    if (terminal.isInteractive && !hasFlag(options, 'json')) terminal.writeOut(CLEAR_SCREEN);
    writeResult(environment, result, options);
    await sleep(intervalMs, signal);
  }
  return ExitCode.Success;
};

const runCommand = async (
  environment: Environment,
  command: Command,
  args: readonly string[],
  options: CommandOptions,
): Promise<ExitCode> => {
  const context = createContext(environment, options);
  const runOnce = (): Promise<CommandResult> => command.run(context, args, options);
  const intervalMs = readWatchInterval(options);
  if (intervalMs !== undefined) {
    if (command.isWatchable) return watchCommand(environment, options, intervalMs, runOnce);
    throw new UsageError(`--watch does not go with ${command.usage.split(' ')[0] ?? ''}.`);
  }
  const result = await runOnce();
  writeResult(environment, result, options);
  return result.exitCode ?? ExitCode.Success;
};

const registerCommand = (
  program: CAC,
  environment: Environment,
  command: Command,
  setAction: (action: Action) => void,
): void => {
  const registered = program.command(command.usage, command.description);
  for (const { flags, description } of command.options) registered.option(flags, description);
  for (const example of command.examples) registered.example(example);
  registered.action((...given: unknown[]) => {
    const options = given.at(-1) as CommandOptions;
    const args = given
      .slice(0, -1)
      .flat()
      .filter((arg) => arg !== undefined)
      .map(String);
    setAction(() => runCommand(environment, command, args, options));
  });
};

const addGlobalOptions = (program: CAC): void => {
  program
    .option('--address <url>', 'Administration address; may be repeated (SARDINEGRADE_ADDRESS)')
    .option('--key <key>', 'Administrator key (SARDINEGRADE_KEY)')
    .option('--json', 'Write the result as JSON')
    .option('--watch [interval]', 'Repeat until interrupted, every 2s by default')
    .option('--quiet', 'Write no progress')
    .example('sardinegrade check fleet.ini')
    .example('sardinegrade status --watch')
    .help();
};

const parseAction = (environment: Environment, args: readonly string[]): Action => {
  const program = cac('sardinegrade');
  addGlobalOptions(program);
  let action: Action | undefined;
  for (const command of COMMANDS) {
    registerCommand(program, environment, command, (chosen) => (action = chosen));
  }
  program.parse(['node', 'sardinegrade', ...args]);
  if (action !== undefined) return action;
  const isHelp = program.options.help === true;
  if (isHelp) return () => Promise.resolve(ExitCode.Success);
  const [name] = args.filter((arg) => !arg.startsWith('-'));
  if (name !== undefined) throw new UsageError(`No command '${name}'.`);
  program.outputHelp();
  return () => Promise.resolve(ExitCode.Usage);
};

const reportError = ({ terminal }: Environment, error: unknown): ExitCode => {
  if (error instanceof CommandError) {
    terminal.writeError(sanitizeOutput(`error: ${error.message}\nnext: ${error.nextStep}\n`));
    return error.exitCode;
  }
  const message = error instanceof Error ? error.message : 'unknown failure';
  const isUsage = error instanceof Error && error.name === 'CACError';
  terminal.writeError(sanitizeOutput(`error: ${message}\nnext: See sardinegrade --help.\n`));
  return isUsage ? ExitCode.Usage : ExitCode.Failed;
};

/**
 * Runs the program; errors are written to the terminal.
 *
 * @param args - command line arguments without interpreter and script
 * @param environment - files, clock, output and interruption signal
 * @returns the exit code
 */
export const runProgram = async (
  args: readonly string[],
  environment: Environment,
): Promise<ExitCode> => {
  try {
    return await parseAction(environment, args)();
  } catch (error) {
    return reportError(environment, error);
  }
};

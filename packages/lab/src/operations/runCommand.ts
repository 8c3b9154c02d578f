import { execFile } from 'node:child_process';

import { getBinaryPath } from '../harness/index.js';

/** Exit code and output of a run of the command-line tool. */
export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Addresses of the administration APIs and the API key that the command-line tool uses. */
export interface CommandTarget {
  readonly addresses: readonly string[];
  readonly key: string;
}

const RUN_TIMEOUT_MS = 60_000;

/**
 * Runs the operator's command-line tool as a child process.
 *
 * @param target - administration addresses and API key
 * @param args - subcommand, arguments and options
 * @returns exit code (-1 if the process was killed, also by the timeout), stdout and stderr
 */
export const runCommand = (
  { addresses, key }: CommandTarget,
  args: readonly string[],
): Promise<CommandResult> =>
  new Promise((resolve) => {
    const options = {
      timeout: RUN_TIMEOUT_MS,
      env: {
        ...process.env,
        SARDINEGRADE_ADDRESS: addresses.join(','),
        SARDINEGRADE_KEY: key,
      },
    };
    const script = getBinaryPath('cli');
    const child = execFile(
      process.execPath,
      [script, ...args],
      options,
      (_error, stdout, stderr) => {
        resolve({ exitCode: child.exitCode ?? -1, stdout, stderr });
      },
    );
  });

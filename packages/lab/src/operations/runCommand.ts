import { execFile } from 'node:child_process';

import { getBinaryPath } from '../harness/index.js';

/** What a run of the command line did. */
export interface CommandRun {
  readonly exitCode: number;
  readonly out: string;
  readonly error: string;
}

/** As whom and where the command line calls. */
export interface CommandTarget {
  readonly addresses: readonly string[];
  readonly key: string;
}

const RUN_TIMEOUT_MS = 60_000;

/**
 * Runs the operator's command line as a process of its own.
 *
 * @param target - administration addresses and key
 * @param args - the command line
 * @returns exit code and output
 */
export const runCommand = (
  { addresses, key }: CommandTarget,
  args: readonly string[],
): Promise<CommandRun> =>
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
    const child = execFile(process.execPath, [script, ...args], options, (_error, out, error) => {
      resolve({ exitCode: child.exitCode ?? -1, out, error });
    });
  });

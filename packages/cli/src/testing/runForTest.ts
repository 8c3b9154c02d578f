import { UsageError } from '../errors.js';
import { runProgram } from '../runProgram.js';

import type { ExitCode } from '../enums.js';
import type { FileChecker } from '../types.js';

/** Exit code and output of a run. */
export interface TestRun {
  readonly exitCode: ExitCode;
  readonly out: string;
  readonly error: string;
}

/** Environment of a run. */
export interface TestRunOptions {
  readonly files?: Readonly<Record<string, string>>;
  readonly checkers?: Readonly<Record<string, FileChecker>>;
  readonly addresses?: readonly string[];
  readonly variables?: Readonly<Record<string, string>>;
  /** Number of sleeps after which the program is interrupted; the clock advances only during sleeps. */
  readonly sleepLimit?: number;
}

const UNLIMITED_SLEEPS = 10_000;

/**
 * Runs the program in this process with a simulated environment.
 *
 * @param args - command line arguments
 * @param options - files, addresses and interruption
 * @returns exit code and output
 */
export const runForTest = async (
  args: readonly string[],
  options: TestRunOptions = {},
): Promise<TestRun> => {
  const { files = {}, checkers = {}, addresses = [], variables = {} } = options;
  const { sleepLimit = UNLIMITED_SLEEPS } = options;
  const interruption = new AbortController();
  let [out, error, nowMs, sleeps] = ['', '', 0, 0];
  const exitCode = await runProgram(args, {
    checkers,
    variables: {
      SARDINEGRADE_KEY: 'test-key',
      SARDINEGRADE_ADDRESS: addresses.join(','),
      ...variables,
    },
    terminal: {
      writeOut: (text) => (out += text),
      writeError: (text) => (error += text),
      isInteractive: false,
    },
    readFile: (path) => {
      const text = files[path];
      if (text === undefined) return Promise.reject(new UsageError(`Cannot read ${path}.`));
      return Promise.resolve(text);
    },
    getNowMs: () => nowMs,
    sleep: (durationMs) => {
      nowMs += durationMs;
      sleeps += 1;
      if (sleeps >= sleepLimit) interruption.abort();
      return Promise.resolve();
    },
    signal: interruption.signal,
  });
  return { exitCode, out, error };
};

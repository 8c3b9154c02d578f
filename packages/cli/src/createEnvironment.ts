import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { setTimeout as startTimer } from 'node:timers/promises';

import { UsageError } from './errors.js';

import type { Environment, FileChecker } from './types.js';

const STANDARD_INPUT = '-';

const readText = async (path: string): Promise<string> => {
  if (path === STANDARD_INPUT) return text(process.stdin);
  try {
    return await readFile(path, 'utf8');
  } catch (error) {
    const cause = error instanceof Error ? error.message : 'unknown cause';
    throw new UsageError(`Cannot read ${path}: ${cause}.`, 'Check the name of the file.');
  }
};

const sleep = async (durationMs: number, signal: AbortSignal): Promise<void> => {
  if (signal.aborted) return;
  await startTimer(durationMs, undefined, { signal }).catch(() => undefined);
};

/**
 * Creates an environment that uses the files, clock and output of this process.
 *
 * @param checkers - file checkers for `check --as`, by format name
 * @returns the environment; SIGINT and SIGTERM abort its signal
 */
export const createEnvironment = (checkers: Readonly<Record<string, FileChecker>>): Environment => {
  const interruption = new AbortController();
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => interruption.abort());
  }
  return {
    checkers,
    variables: process.env,
    terminal: {
      writeOut: (output) => process.stdout.write(output),
      writeError: (output) => process.stderr.write(output),
      isInteractive: process.stdout.isTTY,
    },
    readFile: readText,
    getNowMs: () => Date.now(),
    sleep,
    signal: interruption.signal,
  };
};

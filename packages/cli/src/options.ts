import { parseDurationMs } from '@sardinegrade/common';

import { ADDRESS_VARIABLE, CALL_TIMEOUT_MS, KEY_VARIABLE, WATCH_INTERVAL_MS } from './constants.js';
import { UsageError } from './errors.js';

import type { ClientOptions } from './client/index.js';
import type { CommandOptions, Environment } from './types.js';

const WHOLE_NUMBER = /^\d{1,15}$/;

/**
 * Reads an option as text.
 *
 * @param options - options of the command line
 * @param name - name of the option in camel case
 * @returns the value; undefined if the option is absent
 * @throws UsageError if the option has no value or is repeated
 */
export const readText = (options: CommandOptions, name: string): string | undefined => {
  const value = options[name];
  if (value === undefined) return undefined;
  if (typeof value === 'string' && value !== '') return value;
  if (typeof value === 'number') return String(value);
  throw new UsageError(`--${name} needs exactly one value.`);
};

/**
 * Reads an option as a generation.
 *
 * @param options - options of the command line
 * @param name - name of the option in camel case
 * @returns the generation; undefined if the option is absent
 * @throws UsageError if the value is not a whole number
 */
export const readGeneration = (options: CommandOptions, name: string): number | undefined => {
  const text = readText(options, name);
  return text === undefined ? undefined : parseGeneration(text);
};

/**
 * Parses a generation.
 *
 * @param text - text from the command line
 * @returns the generation
 * @throws UsageError if the text is not a whole number
 */
export const parseGeneration = (text: string): number => {
  if (WHOLE_NUMBER.test(text)) return Number(text);
  throw new UsageError(
    `'${text}' is no generation.`,
    'Write a whole number, as sardinegrade history lists them.',
  );
};

/**
 * Checks whether a flag is set.
 *
 * @param options - options of the command line
 * @param name - name of the flag in camel case
 * @returns true if the flag is set
 */
export const hasFlag = (options: CommandOptions, name: string): boolean => options[name] === true;

const toAddress = (text: string): string => {
  const withScheme = text.includes('://') ? text : `http://${text}`;
  if (URL.canParse(withScheme) && /^https?:/.test(withScheme)) return withScheme;
  throw new UsageError(`'${text}' is no address.`, 'Write it as http://HOST:PORT.');
};

const toList = (value: unknown): readonly string[] => {
  const values: readonly unknown[] = Array.isArray(value) ? value : [value];
  return values
    .flatMap((entry) => (typeof entry === 'string' ? entry.split(',') : []))
    .map((entry) => entry.trim())
    .filter((entry) => entry !== '');
};

/**
 * Reads the options of the client.
 *
 * @param options - options of the command line
 * @param environment - its variables are used for options that are absent
 * @returns addresses, key and timeout
 * @throws UsageError if the addresses or the key are missing, or an address is invalid
 */
export const readClientOptions = (
  options: CommandOptions,
  { variables }: Environment,
): ClientOptions => {
  const addresses = toList(options.address ?? variables[ADDRESS_VARIABLE]).map(toAddress);
  if (addresses.length === 0) {
    throw new UsageError(
      'No address given.',
      `Give --address http://HOST:PORT, the administration port of an entry daemon, or set ${ADDRESS_VARIABLE}.`,
    );
  }
  const key = readText(options, 'key') ?? variables[KEY_VARIABLE];
  if (key === undefined || key === '') {
    throw new UsageError('No key given.', `Give --key KEY, or better set ${KEY_VARIABLE}.`);
  }
  return { addresses, key, timeoutMs: CALL_TIMEOUT_MS };
};

/**
 * Reads the interval at which a command is repeated.
 *
 * @param options - options of the command line
 * @returns the interval in milliseconds; undefined without `--watch`
 * @throws UsageError if the value is not a positive duration
 */
export const readWatchInterval = (options: CommandOptions): number | undefined => {
  if (options.watch === undefined || options.watch === false) return undefined;
  if (options.watch === true) return WATCH_INTERVAL_MS;
  const intervalMs = parseDurationMs(readText(options, 'watch') ?? '');
  if (intervalMs !== undefined && intervalMs > 0) return intervalMs;
  throw new UsageError('--watch takes a duration with its unit.', 'For example --watch 5s.');
};

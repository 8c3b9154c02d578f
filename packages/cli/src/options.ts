import { parseDurationMs } from '@sardinegrade/common';

import { ADDRESS_VARIABLE, CALL_TIMEOUT_MS, KEY_VARIABLE, WATCH_INTERVAL_MS } from './constants.js';
import { UsageError } from './errors.js';

import type { ClientOptions } from './client/index.js';
import type { CommandOptions, Environment } from './types.js';

const WHOLE_NUMBER = /^\d{1,15}$/;

/**
 * Reads an option as text.
 *
 * @param options - the options given
 * @param name - the option in camel case
 * @returns its value; undefined where it was not given
 * @throws UsageError where it was given without a value or more than once
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
 * @param options - the options given
 * @param name - the option in camel case
 * @returns the number; undefined where it was not given
 */
export const readGeneration = (options: CommandOptions, name: string): number | undefined => {
  const text = readText(options, name);
  return text === undefined ? undefined : parseGeneration(text);
};

/**
 * Parses a generation.
 *
 * @param text - as the operator wrote it
 * @returns the number
 * @throws UsageError where it is none
 */
export const parseGeneration = (text: string): number => {
  if (WHOLE_NUMBER.test(text)) return Number(text);
  throw new UsageError(
    `'${text}' is no generation.`,
    'Write a whole number, as sardinegrade history lists them.',
  );
};

/**
 * Tells whether a flag was given.
 *
 * @param options - the options given
 * @param name - the flag in camel case
 * @returns true where it was
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
 * Reads where and as whom to call.
 *
 * @param options - the options given
 * @param environment - its variables stand in for options that were not given
 * @returns addresses, key and timeout
 * @throws UsageError where an address or the key is missing
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
 * Reads how often a command is repeated.
 *
 * @param options - the options given
 * @returns the interval; undefined where `--watch` was not given
 * @throws UsageError where it is no duration
 */
export const readWatchInterval = (options: CommandOptions): number | undefined => {
  if (options.watch === undefined || options.watch === false) return undefined;
  if (options.watch === true) return WATCH_INTERVAL_MS;
  const intervalMs = parseDurationMs(readText(options, 'watch') ?? '');
  if (intervalMs !== undefined && intervalMs > 0) return intervalMs;
  throw new UsageError('--watch takes a duration with its unit.', 'For example --watch 5s.');
};

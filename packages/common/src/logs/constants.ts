import { LogLevel } from './enums.js';

/** Numeric log level of consola for each level. */
export const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 3,
  [LogLevel.Debug]: 4,
};

/** Maximum length of a message or field value, in characters; longer ones are truncated. */
export const LOG_VALUE_LIMIT = 2_000;

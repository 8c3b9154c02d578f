import { LogLevel } from './enums.js';

/** The library's number of each level. */
export const LEVEL_NUMBER: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 3,
  [LogLevel.Debug]: 4,
};

/** Longest message or field value written, in characters. */
export const LOG_VALUE_LIMIT = 2_000;

import type { ResultCode } from '../errors/index.js';
import type { LogFormat, LogLevel } from './enums.js';

/** The fields that a log line may carry. Keys and bodies have no field, so that they are never logged. */
export interface LogFields {
  readonly requestId?: string | undefined;
  readonly service?: string | undefined;
  readonly className?: string | undefined;
  readonly workspace?: string | undefined;
  readonly code?: ResultCode | undefined;
  readonly upstream?: string | undefined;
  readonly vm?: string | undefined;
  readonly dataCentre?: string | undefined;
  readonly generation?: number | undefined;
  readonly traceId?: string | undefined;
  readonly durationMs?: number | undefined;
  readonly count?: number | undefined;
  readonly operator?: string | undefined;
  /** What a decision depended on, and its outcome; never keys or bodies. */
  readonly inputs?: Readonly<Record<string, string | number | boolean | undefined>> | undefined;
  /** Anything thrown; its name, message, code and, in JSON, its stack are written. */
  readonly error?: unknown;
}

/** Writes log lines. */
export interface Logger {
  readonly error: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly debug: (message: string, fields?: LogFields) => void;
  /** Creates a logger that adds the fields to each of its lines. */
  readonly withFields: (fields: LogFields) => Logger;
}

/** Where log lines go. */
export interface LogOutput {
  readonly write: (line: string) => unknown;
}

/** How a logger writes. */
export interface LoggerOptions {
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Standard error by default; standard output is left to results. */
  readonly output?: LogOutput;
  readonly fields?: LogFields;
}

import type { ResultCode } from '../errors/index.js';
import type { LogFormat, LogLevel } from './enums.js';

/** Fields of a log line. API keys and request bodies have no field, so that they are never logged. */
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
  /** Inputs and outcome of a decision, by output name. Must not contain API keys or request bodies. */
  readonly inputs?: Readonly<Record<string, string | number | boolean | undefined>> | undefined;
  /**
   * A thrown value. Of an Error, the name and message are written, the result code if it is a
   * SardinegradeError, and in JSON the stack; of other values only the type.
   */
  readonly error?: unknown;
}

/** Writes log lines. */
export interface Logger {
  readonly error: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly debug: (message: string, fields?: LogFields) => void;
  /** Creates a child logger that adds the fields to each line. */
  readonly withFields: (fields: LogFields) => Logger;
}

/** Destination of log lines. */
export interface LogOutput {
  readonly write: (line: string) => unknown;
}

/** Options of a logger. */
export interface LoggerOptions {
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Standard error by default, since standard output is reserved for results. */
  readonly output?: LogOutput;
  readonly fields?: LogFields;
}

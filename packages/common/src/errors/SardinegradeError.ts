import { HTTP_STATUS } from './constants.js';
import { ResultCode, RunState } from './resultCode.js';

/** What an error carries besides its code and message. */
export interface SardinegradeErrorOptions {
  /** Whether the request was carried out; `not_run` by default. */
  readonly run?: RunState;
  /** When the caller may ask again; absent where a retry is of no use. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** The base of all errors with a result code. */
export class SardinegradeError extends Error {
  readonly code: ResultCode;
  readonly run: RunState;
  readonly retryAfterMs: number | undefined;

  constructor(code: ResultCode, message: string, options: SardinegradeErrorOptions = {}) {
    super(message, { cause: options.cause });
    this.name = 'SardinegradeError';
    this.code = code;
    this.run = options.run ?? RunState.NotRun;
    this.retryAfterMs = options.retryAfterMs;
  }

  /** The HTTP status that answers this error. */
  get httpStatus(): number {
    return HTTP_STATUS[this.code];
  }
}

/**
 * Turns anything thrown into an error with a result code.
 *
 * @param thrown - what a catch clause received
 * @param run - whether the request was carried out, for errors that do not say so themselves
 * @returns the same error, or an internal error that has it as its cause
 */
export const toSardinegradeError = (
  thrown: unknown,
  run: RunState = RunState.Unknown,
): SardinegradeError => {
  if (thrown instanceof SardinegradeError) return thrown;
  return new SardinegradeError(ResultCode.Internal, 'Internal error.', { cause: thrown, run });
};

import { ResultCode, RESULT_ADVICE, toSardinegradeError } from '@sardinegrade/common';
import { ConfigurationError } from '@sardinegrade/fleet';

import type { ProblemView, SardinegradeError } from '@sardinegrade/common';

const MS_PER_SECOND = 1_000;

/** Daemon state that is included in the body of an error. */
export interface ProblemContext {
  /** The active generation of this daemon; sent with a generation conflict only. */
  readonly generation: number;
}

/**
 * Converts an error to a problem document.
 *
 * @param thrown - value that a handler threw
 * @param context - daemon state to include
 * @returns body of the response
 */
export const describeProblem = (thrown: unknown, context: ProblemContext): ProblemView => {
  const error: SardinegradeError = toSardinegradeError(thrown);
  const { code, run, retryAfterMs } = error;
  const faults = error instanceof ConfigurationError ? [...error.faults] : undefined;
  const isConflict = code === ResultCode.GenerationConflict;
  return {
    type: `urn:sardinegrade:result:${code}`,
    title: ResultCode[code],
    status: error.httpStatus,
    detail: error.message,
    code,
    run,
    next_step: RESULT_ADVICE[code].nextStep,
    retry_after_ms: retryAfterMs,
    faults,
    current_generation: isConflict ? context.generation : undefined,
  };
};

/**
 * Formats a delay as a `Retry-After` header.
 *
 * @param retryAfterMs - delay in milliseconds
 * @returns seconds, rounded up, at least one
 */
export const formatRetryAfter = (retryAfterMs: number): string =>
  String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));

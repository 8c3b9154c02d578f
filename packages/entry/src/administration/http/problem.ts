import { ResultCode, RESULT_ADVICE, toSardinegradeError } from '@sardinegrade/common';
import { ConfigurationError } from '@sardinegrade/fleet';

import type { ProblemView, SardinegradeError } from '@sardinegrade/common';

const MS_PER_SECOND = 1_000;

/** What an error's answer needs besides the error. */
export interface ProblemContext {
  /** The generation in force at this daemon. */
  readonly generation: number;
}

/**
 * Describes an error to whoever made the request.
 *
 * @param thrown - what a handler threw
 * @param context - the daemon's state
 * @returns the body of the answer
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
 * Formats the time to wait as a `Retry-After` header.
 *
 * @param retryAfterMs - the time
 * @returns whole seconds, at least one
 */
export const formatRetryAfter = (retryAfterMs: number): string =>
  String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));

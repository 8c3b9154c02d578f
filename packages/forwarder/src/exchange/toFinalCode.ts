import { ResultCode } from '@sardinegrade/common';

/** Codes that say that a request has not run. */
const REFUSALS: ReadonlySet<ResultCode> = new Set([
  ResultCode.NoUpstream,
  ResultCode.Overloaded,
  ResultCode.Quarantined,
]);

/**
 * Replaces the code of a refusal if the request may have run.
 *
 * @param code - why the request ends
 * @param canHaveStarted - whether a worker may have started to run it
 * @returns the code for the caller
 */
export const toFinalCode = (code: ResultCode, canHaveStarted: boolean): ResultCode =>
  canHaveStarted && REFUSALS.has(code) ? ResultCode.UpstreamFailed : code;

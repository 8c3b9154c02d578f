import { ResultCode, RunState } from '@sardinegrade/common';

const REFUSAL_MESSAGES: Partial<Readonly<Record<ResultCode, string>>> = {
  [ResultCode.Overloaded]: 'The service is overloaded; higher tiers are served first.',
  [ResultCode.QueueFull]: 'The queue of this class is full.',
  [ResultCode.NoUpstream]: 'No engine of this service can be reached.',
  [ResultCode.Quarantined]: 'This request has crashed engines and is quarantined.',
  [ResultCode.DeadlineBeforeStart]: 'The request cannot start before its deadline.',
};

/** Result codes after which an engine may have run the request. */
const POSSIBLY_RUN_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.UpstreamFailed,
  ResultCode.UpstreamTimeout,
  ResultCode.SuspectFailed,
]);

/**
 * Describes a dispatcher's refusal for the caller.
 *
 * @param code - result code of the refusal
 * @returns the error message, one sentence
 */
export const describeRefusal = (code: ResultCode): string =>
  REFUSAL_MESSAGES[code] ?? 'The request cannot be served now.';

/**
 * Determines the run state of a request that failed before its first token.
 *
 * @param code - result code of the failure
 * @param mayHaveStarted - whether an engine may have started any attempt
 * @returns `unknown` if an engine may have run the request, else `not_run`
 */
export const getRunState = (code: ResultCode, mayHaveStarted: boolean): RunState =>
  mayHaveStarted || POSSIBLY_RUN_CODES.has(code) ? RunState.Unknown : RunState.NotRun;

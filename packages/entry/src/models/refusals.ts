import { ResultCode, RunState } from '@sardinegrade/common';

const REFUSAL_MESSAGES: Partial<Readonly<Record<ResultCode, string>>> = {
  [ResultCode.Overloaded]: 'The service is overloaded; higher tiers are served first.',
  [ResultCode.QueueFull]: 'The queue of this class is full.',
  [ResultCode.NoUpstream]: 'No engine of this service can be reached.',
  [ResultCode.Quarantined]: 'This request has crashed engines and is quarantined.',
  [ResultCode.DeadlineBeforeStart]: 'The request cannot start before its deadline.',
};

/** Codes of failures after which the request may have run. */
const UNCERTAIN_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.UpstreamFailed,
  ResultCode.UpstreamTimeout,
  ResultCode.SuspectFailed,
]);

/**
 * Explains a dispatcher's refusal to a caller.
 *
 * @param code - the refusal's code
 * @returns one sentence
 */
export const describeRefusal = (code: ResultCode): string =>
  REFUSAL_MESSAGES[code] ?? 'The request cannot be served now.';

/**
 * Finds out whether a request that failed before its first token was run.
 *
 * @param code - the failure's code
 * @param wasSent - whether any attempt was sent to an engine
 * @returns `unknown` where an engine may have run it, `not_run` otherwise
 */
export const getRunState = (code: ResultCode, wasSent: boolean): RunState =>
  wasSent || UNCERTAIN_CODES.has(code) ? RunState.Unknown : RunState.NotRun;

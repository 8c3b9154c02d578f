import { ResultCode } from '@sardinegrade/common';
import { computeRetryAfterMs } from '@sardinegrade/routing';

import type { RandomSource } from '@sardinegrade/dispatch';
import type { LocalReply } from '../front/sendLocalReply.js';

const MESSAGE = 'The request failed unexpectedly.';

/** Time left until the request's deadline, in milliseconds, and the random source. */
export interface UnexpectedReplyContext {
  readonly remainingMs: number;
  readonly random: RandomSource;
}

/**
 * Builds the reply to a request that failed because of an unexpected error of this VM.
 *
 * @param canHaveRun - whether a worker may have run the request, or may be running it
 * @param context - what the retry time is computed from
 * @returns the reply; it says that the request has not run only if that is certain
 */
export const buildUnexpectedReply = (
  canHaveRun: boolean,
  { remainingMs, random }: UnexpectedReplyContext,
): LocalReply => {
  if (canHaveRun) return { code: ResultCode.UpstreamFailed, message: MESSAGE };
  const retryAfterMs = computeRetryAfterMs(remainingMs, random);
  return { code: ResultCode.NoUpstream, message: MESSAGE, retryAfterMs };
};

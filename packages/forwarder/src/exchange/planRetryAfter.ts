import { computeRetryAfterMs } from '@sardinegrade/routing';

import { countWaitingTokens, estimateDrainMs } from '../waiting/index.js';

import type { ForwarderState } from '../ForwarderState.js';
import type { AdmittedRequest } from './types.js';

/**
 * Plans when the caller of a refused request is to return, and remembers the request: it then goes first.
 *
 * @param state - state of the forwarder
 * @param admitted - the request
 * @param remainingMs - time left until the caller's deadline, in milliseconds
 * @returns the time after which it may return, in milliseconds
 */
export const planRetryAfterMs = (
  state: ForwarderState,
  { caller, fingerprint }: AdmittedRequest,
  remainingMs: number,
): number => {
  const { random, getNowMs } = state.options;
  const tokens = countWaitingTokens(state);
  if (caller.prompt === undefined || tokens === 0) return computeRetryAfterMs(remainingMs, random);
  state.refused.record(fingerprint, getNowMs());
  return computeRetryAfterMs(remainingMs, random, estimateDrainMs(state, tokens));
};

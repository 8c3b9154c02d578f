import { SendFailure } from '@sardinegrade/routing';

import { LinkSign } from '../links/index.js';
import { toInstanceId } from '../workers/index.js';

import type { Fingerprint } from '@sardinegrade/common';
import type { ForwarderState } from '../ForwarderState.js';
import type { ActiveSend } from './types.js';

/** Failures that say nothing about the health of the worker, or are recorded when they are noticed. */
const NOT_UNHEALTHY: ReadonlySet<SendFailure> = new Set([
  SendFailure.Silent,
  SendFailure.Excluded,
  SendFailure.Rejected,
  SendFailure.Unsendable,
  SendFailure.ErrorAnswer,
  SendFailure.Withdrawn,
]);

/** A failed send of a request. */
export interface FailedSend {
  readonly failure: SendFailure;
  /** Identifies the request when the caller sends it again. */
  readonly fingerprint: Fingerprint;
}

/**
 * Records what a failed send says about its worker.
 *
 * @param state - state of the forwarder
 * @param active - the send and its worker
 * @param failed - the failure and the request
 */
export const recordSendFailure = (
  state: ForwarderState,
  active: ActiveSend,
  { failure, fingerprint }: FailedSend,
): void => {
  if (NOT_UNHEALTHY.has(failure)) return;
  const { worker, health } = active.record;
  const nowMs = state.options.getNowMs();
  if (failure === SendFailure.Broken) {
    state.crashes.recordBrokenSend(fingerprint, toInstanceId(worker), nowMs);
  }
  if (failure === SendFailure.Broken && !active.claimed.connection.isTunnel)
    void state.links.check(LinkSign.Broken);
  // A reused connection may have been closed by a healthy worker.
  if (failure === SendFailure.Broken && active.claimed.isReused && !active.hasFirstEvent) return;
  health.recordFailure(nowMs, failure === SendFailure.NotSent);
};

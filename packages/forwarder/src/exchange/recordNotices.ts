import { LimitHeader } from '@sardinegrade/routing';

import { NOT_RUN_STATUSES } from './sendToWorker.js';

import type { ForwarderState } from '../ForwarderState.js';
import type { AnswerHead } from './sendToWorker.js';
import type { ActiveSend } from './types.js';

/**
 * Records what the head of an answer states about its worker. An answer of another worker at the same address says nothing,
 * and a rejection without a limit says nothing about limits.
 *
 * @param state - state of the forwarder
 * @param active - the send that was answered
 * @param head - head of the answer
 */
export const recordNotices = (
  { workerLimits, workerNotices }: ForwarderState,
  { record, startedAtMs }: ActiveSend,
  { status, metadata }: AnswerHead,
): void => {
  if (NOT_RUN_STATUSES.has(status)) return;
  workerNotices.recordAnswer(record, status, metadata);
  const { brittleness, isNotRun } = metadata;
  workerLimits.brittle.recordAnswer(record, { brittleness, isNotRun, sentAtMs: startedAtMs });
  if (isNotRun && metadata.limit.header === LimitHeader.None) return;
  workerLimits.recordAnswer(record, metadata.limit, startedAtMs);
};

import { ResultCode } from '@sardinegrade/common';

import { refuseRecord } from './records.js';
import { estimateRetryAfterMs, refuseTooLate } from './overload.js';
import { grantOrPreempt } from './preempt.js';

import type { RequestRecord, TieredState } from './types.js';

const grantBeforeDeadline = (state: TieredState, record: RequestRecord, nowMs: number): boolean => {
  if (record.ask.deadlineAtMs <= nowMs) return false;
  const { isPaying } = record.classState;
  return grantOrPreempt(state, record, { paying: isPaying, guaranteed: isPaying }, nowMs);
};

/**
 * Handles waiting requests whose latest start time has come: each is granted a slot, if necessary by preemption, or
 * is refused as not run.
 *
 * @param state - dispatcher state, modified in place
 * @param nowMs - current time, in milliseconds
 */
export const expireWaiting = (state: TieredState, nowMs: number): void => {
  for (;;) {
    const record = state.deadlines.peek();
    if (record === undefined || record.latestStartMs > nowMs) return;
    if (grantBeforeDeadline(state, record, nowMs)) continue;
    const retryAfterMs = estimateRetryAfterMs(state, record.classState, nowMs);
    refuseRecord(state, record, ResultCode.DeadlineBeforeStart, retryAfterMs, nowMs);
  }
};

/**
 * Refuses waiting requests that are expected to start too late, lowest tier first.
 *
 * @param state - dispatcher state, modified in place
 * @param nowMs - current time, in milliseconds
 */
export const refuseAllTooLate = (state: TieredState, nowMs: number): void => {
  for (const classState of state.classes.toReversed()) refuseTooLate(state, classState, nowMs);
};

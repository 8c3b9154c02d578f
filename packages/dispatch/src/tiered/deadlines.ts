import { ResultCode } from '@sardinegrade/common';

import { refuseRecord } from './records.js';
import { estimateRetryAfterMs, refuseDoomed } from './overload.js';
import { takePlace } from './preempt.js';

import type { AskRecord, TieredState } from './types.js';

const canRescue = (state: TieredState, record: AskRecord, nowMs: number): boolean => {
  if (record.ask.deadlineAtMs <= nowMs) return false;
  const { isPaying } = record.owner;
  return takePlace(state, record, { paying: isPaying, guaranteed: isPaying }, nowMs);
};

/**
 * Deals with waiting asks whose latest start has come: each gets a place of a lower tier or is refused as not run.
 *
 * @param state - the dispatcher's state
 * @param nowMs - the present
 */
export const expireWaiting = (state: TieredState, nowMs: number): void => {
  for (;;) {
    const record = state.deadlines.peek();
    if (record === undefined || record.latestStartMs > nowMs) return;
    if (canRescue(state, record, nowMs)) continue;
    const retryAfterMs = estimateRetryAfterMs(state, record.owner, nowMs);
    refuseRecord(state, record, ResultCode.DeadlineBeforeStart, retryAfterMs, nowMs);
  }
};

/**
 * Refuses, lowest tier first, waiting asks that can no longer start in time.
 *
 * @param state - the dispatcher's state
 * @param nowMs - the present
 */
export const refuseAllDoomed = (state: TieredState, nowMs: number): void => {
  for (const owner of state.classes.toReversed()) refuseDoomed(state, owner, nowMs);
};

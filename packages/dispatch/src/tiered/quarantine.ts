import { ResultCode } from '@sardinegrade/common';

import { RequestState } from '../charts/index.js';
import { PreemptionMode } from '../enums.js';
import { preemptRecord, refuseRecord } from './records.js';

import type { Fingerprint } from '@sardinegrade/common';
import type { TieredState } from './types.js';

/**
 * Removes a quarantined request from all engines: waiting copies are refused as not run, running ones are cancelled.
 *
 * @param state - dispatcher state, modified in place
 * @param fingerprint - fingerprint of the request
 * @param nowMs - current time, in milliseconds
 */
export const quarantineFingerprint = (
  state: TieredState,
  fingerprint: Fingerprint,
  nowMs: number,
): void => {
  for (const record of [...state.records.values()]) {
    if (record.ask.fingerprint !== fingerprint) continue;
    if (record.state === RequestState.Waiting)
      refuseRecord(state, record, ResultCode.Quarantined, undefined, nowMs);
    else preemptRecord(state, record, PreemptionMode.Cancel, nowMs);
  }
};

/**
 * Applies a quarantine that another dispatcher has set.
 *
 * @param state - dispatcher state, modified in place
 * @param fingerprint - fingerprint of the request
 * @param untilMs - end of the quarantine, in milliseconds
 * @param nowMs - current time, in milliseconds
 */
export const handleQuarantined = (
  state: TieredState,
  fingerprint: Fingerprint,
  untilMs: number,
  nowMs: number,
): void => {
  if (untilMs <= nowMs) return;
  state.suspicions.quarantine(fingerprint, untilMs, nowMs);
  quarantineFingerprint(state, fingerprint, nowMs);
};

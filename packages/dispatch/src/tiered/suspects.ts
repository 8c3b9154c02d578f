import { ResultCode } from '@sardinegrade/common';

import { RequestState } from '../charts/index.js';
import { PreemptionMode } from '../enums.js';
import { preemptRecord, refuseRecord } from './records.js';

import type { Fingerprint } from '@sardinegrade/common';
import type { TieredState } from './types.js';

/**
 * Keeps a quarantined request off all engines: waiting asks are refused as not run, running ones cancelled.
 *
 * @param state - the dispatcher's state
 * @param fingerprint - the culprit
 * @param nowMs - the present
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
 * Takes over a quarantine that another dispatcher pronounced.
 *
 * @param state - the dispatcher's state
 * @param fingerprint - the culprit
 * @param untilMs - when the quarantine ends
 * @param nowMs - the present
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

import type { LeaseTimings } from '@sardinegrade/lease';

/** Name of the duties' lease object in the store. */
export const DUTY_LEASE_NAME = 'lease';

/** Time in which a call has been executed or its connection is reset, in milliseconds. */
export const CALL_DEADLINE_MS = 600;

const RENEW_INTERVAL_MS = 1_000;
const STANDBY_INTERVAL_MS = 1_000;

/** Covers delays within a VM, and suspensions too short for `MAX_DRIFT_MS`. */
const MARGIN_MS = 300;

/** Consecutive calls without any response, and the time from the first to the last, after which the lease is released. */
export const MAX_SILENT_CALLS = 3;
export const MIN_SILENCE_MS = 4_000;

/** Time for which this VM does not claim the lease after it released it because the API did not respond, in milliseconds. */
export const SILENCE_PAUSE_MS = 10_000;

/**
 * @param leaseMs - time within which holders must not act in the order A, B, A, in milliseconds
 * @returns timings of the lease
 */
export const createDutyTimings = (leaseMs: number): LeaseTimings => ({
  durationMs: leaseMs,
  renewIntervalMs: RENEW_INTERVAL_MS,
  standbyIntervalMs: STANDBY_INTERVAL_MS,
  orderDeadlineMs: CALL_DEADLINE_MS,
  marginMs: MARGIN_MS,
  releasedWaitMs: leaseMs + MARGIN_MS,
});

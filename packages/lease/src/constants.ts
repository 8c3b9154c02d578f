import type { LeaseTimings } from './types.js';

export const LEASE_KIND = 'lease';

/** Default timings of a lease. */
export const LEASE_TIMINGS: LeaseTimings = {
  durationMs: 10_000,
  renewIntervalMs: 3_000,
  standbyIntervalMs: 10_000,
  orderDeadlineMs: 2_000,
  marginMs: 1_000,
};

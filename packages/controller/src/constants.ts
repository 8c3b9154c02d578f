/** Interval at which the lease checks whether a renewal or another action is due. */
export const LEASE_TICK_MS = 250;
/** Timeout for reading an engine's state. */
export const STATE_TIMEOUT_MS = 1_000;
/** Timeout for releasing the lease on shutdown. */
export const RELEASE_TIMEOUT_MS = 5_000;

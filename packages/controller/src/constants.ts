/** How often the lease looks for what is due. */
export const LEASE_TICK_MS = 250;
/** Longest wait for an engine to say what it holds. */
export const STATE_TIMEOUT_MS = 1_000;
/** Longest wait for the lease to be given up on shutdown. */
export const RELEASE_TIMEOUT_MS = 5_000;

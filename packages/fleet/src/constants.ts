/** Interval at which the fleet agent runs periodic work that is due. */
export const TICK_INTERVAL_MS = 200;
/** Maximum wait for a peer to acknowledge that this daemon is leaving. */
export const LEAVE_TIMEOUT_MS = 2_000;

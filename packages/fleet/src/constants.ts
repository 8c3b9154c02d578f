/** How often the fleet agent looks for what is due. */
export const TICK_INTERVAL_MS = 200;
/** Longest wait for another daemon to hear that this one leaves. */
export const LEAVE_TIMEOUT_MS = 2_000;

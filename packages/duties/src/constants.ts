/**
 * Change of the difference of wall clock and monotonic clock from which a jump of the wall clock or a suspension is
 * assumed, in milliseconds.
 */
export const MAX_DRIFT_MS = 250;

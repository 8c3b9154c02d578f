/** Longest delay after the first failed call, in milliseconds; it doubles with each further failure. */
export const INITIAL_RETRY_DELAY_MS = 100;

/** Longest delay before the first list is repeated, in milliseconds: a VM serves no requests until it has listed. */
export const MAX_INITIAL_RETRY_DELAY_MS = 1_000;

/**
 * Longest delay before a call is repeated once objects have been listed, in milliseconds. A VM keeps serving requests
 * while the store is unavailable, rejected calls to the store cost money, too, and a change has to be applied only
 * within some seconds after an outage.
 */
export const MAX_RETRY_DELAY_MS = 2_000;

/** Time since the last successful call after which a failure means that the store is unavailable, in milliseconds. */
export const OUTAGE_THRESHOLD_MS = 700;

/**
 * Time in which the own watch returns a change that a peer has applied, beyond the pause between watches, in
 * milliseconds. After it the watch counts as stale.
 */
export const MISSED_CHANGE_MARGIN_MS = 500;

/** Time without a report of a peer after which a VM counts as isolated, in milliseconds. */
export const PEER_CONTACT_TIMEOUT_MS = 1_000;

/** Interval at which a VM with a waiting watch checks whether it is isolated, in milliseconds. */
export const ISOLATION_CHECK_INTERVAL_MS = 250;

/**
 * Time over which the calls of a fleet are spread that has learned of a restored store, or of VMs that have followed the same
 * relay, in milliseconds: short beside the time within which a change has to be applied.
 */
export const ERA_SPREAD_MS = 300;

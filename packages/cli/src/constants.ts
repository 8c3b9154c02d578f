/** Longest wait for one answer of a daemon. */
export const CALL_TIMEOUT_MS = 10_000;

/** Time between two looks at the fleet while a change comes into force. */
export const PROGRESS_INTERVAL_MS = 250;

/** How long `apply` and the like wait for a change to be in force everywhere. */
export const IN_FORCE_TIMEOUT_MS = 19_000;

/** How long `drain` waits for an upstream's requests to end. */
export const DRAIN_TIMEOUT_MS = 600_000;

/** Time between two rounds of `--watch` where none is given. */
export const WATCH_INTERVAL_MS = 2_000;

export const ADDRESS_VARIABLE = 'SARDINEGRADE_ADDRESS';
export const KEY_VARIABLE = 'SARDINEGRADE_KEY';

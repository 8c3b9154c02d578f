/** Timeout of one call to a daemon. */
export const CALL_TIMEOUT_MS = 10_000;

/** Time between two polls of the fleet while a command waits for a change or a drain. */
export const POLL_INTERVAL_MS = 250;

/** Longest time that `apply`, `restore`, `drain` and `undrain` wait until a change is active on every VM. */
export const ACTIVATION_TIMEOUT_MS = 19_000;

/** Longest time that `drain` waits for the running requests of an upstream to finish. */
export const DRAIN_TIMEOUT_MS = 600_000;

/** Interval of `--watch` without a value. */
export const WATCH_INTERVAL_MS = 2_000;

export const ADDRESS_VARIABLE = 'SARDINEGRADE_ADDRESS';
export const KEY_VARIABLE = 'SARDINEGRADE_KEY';

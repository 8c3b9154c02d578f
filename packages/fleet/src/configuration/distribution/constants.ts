/** Daemons of each data centre that watch the configuration in the platform. */
export const WATCHER_COUNT = 2;
/** How long a daemon has to be among the chosen before it watches; a newcomer knows few others at first. */
export const WATCHER_SETTLE_MS = 3_000;
export const WATCH_TIMEOUT_MS = 30_000;
/** How often a daemon that does not watch reads the platform, on average. */
export const CHECK_INTERVAL_MS = 300_000;
/** How long a daemon without a configuration waits for its peers before it asks the platform. */
export const BOOT_WAIT_MS = 1_500;
/** Random part of that wait, so that a data centre that starts at once does not ask at once. */
export const BOOT_JITTER_MS = 2_500;
export const FETCH_TIMEOUT_MS = 3_000;
export const RETRY_MS = 200;
export const RETRY_LIMIT_MS = 10_000;
/** Peers that are remembered as having a newer generation. */
export const SOURCE_LIMIT = 16;

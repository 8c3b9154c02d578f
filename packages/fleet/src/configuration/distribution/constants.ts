/** Number of daemons per data centre that watch the configuration in the platform. */
export const WATCHER_COUNT = 2;
/**
 * How long a daemon must be selected as watcher before it watches. A new daemon knows few members at first
 * and may select itself by mistake.
 */
export const WATCHER_SETTLE_MS = 3_000;
/**
 * How long a watch waits for a change, in milliseconds. A silent watch proves nothing: its connection may have stopped
 * responding. With the client's margin and the read that follows it a stored configuration is active within 5 seconds.
 */
export const WATCH_TIMEOUT_MS = 4_000;
/** Average interval at which a daemon that is not a watcher reads the configuration from the platform. */
export const CHECK_INTERVAL_MS = 300_000;
/** How long a starting daemon waits for a configuration from its peers before it reads the platform. */
export const BOOT_WAIT_MS = 1_500;
/** Maximum random addition to `BOOT_WAIT_MS`, so that a whole data centre doesn't read the platform at once. */
export const BOOT_JITTER_MS = 2_500;
export const FETCH_TIMEOUT_MS = 3_000;
export const RETRY_INITIAL_MS = 200;
export const RETRY_LIMIT_MS = 10_000;
/** Maximum number of peers kept as sources of a newer generation. */
export const SOURCE_LIMIT = 16;

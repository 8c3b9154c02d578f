/** Interval at which the responsible daemon probes an upstream that other services depend on. */
export const PROBE_INTERVAL_MS = 1_000;

/** Number of consecutive failed probes after which an upstream is considered down. */
export const FAILED_PROBES_LIMIT = 2;

/** Lifetime of the news that an upstream is down, unless it is renewed. */
export const DOWN_NEWS_TTL_MS = 5_000;

/** How long a request stays suspect after an engine died while running it. */
export const SUSPECT_TTL_MS = 600_000;

/** Interval at which the responsible daemon reads the platform's list of VMs. */
export const VM_LIST_INTERVAL_MS = 2_000;

/** Lifetime of the news that an upstream is leaving, unless it is renewed. */
export const LEAVING_NEWS_TTL_MS = 60_000;

/** How long before its expiry the news of a leaving upstream is renewed. */
export const LEAVING_NEWS_RENEWAL_MS = 20_000;

/** How often the daemon responsible for it probes an upstream that others depend on. */
export const PROBE_INTERVAL_MS = 1_000;

/** Failed probes in a row before an upstream is taken as down. */
export const FAILED_PROBES_LIMIT = 2;

/** How long news of an upstream being down holds without being renewed. */
export const DOWN_NEWS_TTL_MS = 5_000;

/** How long a request stays suspect after an engine died under it. */
export const SUSPECT_TTL_MS = 600_000;

/** How often the daemon responsible for it reads the platform's list of VMs. */
export const VM_LIST_INTERVAL_MS = 2_000;

/** How long news of an upstream leaving holds without being renewed. */
export const LEAVING_NEWS_TTL_MS = 60_000;

/** How long before its end such news is renewed. */
export const LEAVING_NEWS_RENEWAL_MS = 20_000;

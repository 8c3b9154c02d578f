/** Engines of the comparison's shard or shards, and their slots. */
export const ENGINES = 8;
export const SLOTS = 8;

/** Interval between tokens of a stream that runs alone. */
export const BASE_INTERVAL_MS = 20;

export const DURATION_MS = 120_000;
export const STEP_MS = 20;

/** Requests still open are given this time to end. */
export const SETTLE_MS = 60_000;

/** How late engines' load reports and shards' queue lengths are. */
export const REPORT_LAG_MS = 5_000;
export const VIEW_INTERVAL_MS = 500;

export const DAEMONS = 84;

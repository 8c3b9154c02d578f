/** Total number of engines over all shards, and slots of each engine. */
export const ENGINES = 8;
export const SLOTS = 8;

/** Interval between the tokens of a stream that has its engine to itself. */
export const BASE_INTERVAL_MS = 20;

export const DURATION_MS = 120_000;
export const STEP_MS = 20;

/** Additional time at the end of the load for open requests to finish. */
export const DRAIN_MS = 60_000;

/** Age of the engines' load reports in the local decisions of daemons. */
export const REPORT_LAG_MS = 5_000;
/** Interval at which load reports are recorded and the views of shards' queues are updated. */
export const VIEW_INTERVAL_MS = 500;

export const DAEMONS = 84;

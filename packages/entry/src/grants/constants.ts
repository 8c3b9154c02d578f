/** How often queues are looked at for deadlines and refusals. */
export const TICK_INTERVAL_MS = 50;

/** How often a dispatcher reads its engines' load. */
export const LOAD_POLL_INTERVAL_MS = 1_000;

/** How long an engine may hold a call for cache events open. */
export const CACHE_EVENT_WAIT_MS = 10_000;

/** How often a dispatcher shows that it is alive to daemons whose asks it holds. */
export const SESSION_HEARTBEAT_MS = 250;

/** Shortest time between two messages of a session that carry the loads of shards. */
export const LOADS_INTERVAL_MS = 1_000;

/** A dispatcher that holds asks and has sent nothing for this long is taken as lost. */
export const SESSION_SILENCE_MS = 1_000;

/** How long a lost dispatcher is passed over. */
export const LOST_DISPATCHER_COOLDOWN_MS = 3_000;

/** A shard that nobody has asked for this long is given up. */
export const IDLE_SHARD_MS = 60_000;

export const PING_INTERVAL_MS = 1_000;
export const PING_TIMEOUT_MS = 500;
export const INDIRECT_TIMEOUT_MS = 1_000;
export const SYNC_TIMEOUT_MS = 3_000;
/** Members that are asked to ping one that did not answer. */
export const INDIRECT_HELPERS = 3;

/** A suspect has `SUSPICION_FACTOR * log10(members)` ping intervals to refute, at least the minimum. */
export const SUSPICION_FACTOR = 4;
export const SUSPICION_MINIMUM_MS = 3_000;

/** Each update rides on `RETRANSMIT_FACTOR * log10(members)` messages. */
export const RETRANSMIT_FACTOR = 4;
export const GOSSIP_MEMBER_LIMIT = 8;
export const GOSSIP_NEWS_LIMIT = 8;
/** News kept at once; the soonest to expire are dropped beyond it. */
export const NEWS_LIMIT = 1_024;
export const NEWS_LIFETIME_LIMIT_MS = 3_600_000;

/** Daemons of each data centre that talk to other data centres. */
export const DELEGATE_COUNT = 2;
/** One in so many pings to another data centre goes to any member there instead of a delegate. */
export const REMOTE_RANDOM_EVERY = 4;
/** A data centre of which nothing has been heard for longer counts as out of reach. */
export const DATA_CENTRE_TIMEOUT_MS = 15_000;

/** Neighbours on the ring that `nearest_and_random` pings, and how often a random member instead. */
export const NEIGHBOUR_COUNT = 3;
export const RANDOM_PARTNER_EVERY = 3;

/** Parts into which members fall for comparison, so that a sync carries only parts that differ. */
export const SYNC_BUCKETS = 16;
export const SYNC_INTERVAL_MS = 30_000;
export const LIST_INTERVAL_MS = 60_000;
export const JOIN_RETRY_MS = 1_000;
/** How long the seeds may take to answer before the platform is asked for its list. */
export const SEED_WAIT_MS = 2_000;
export const JOIN_FANOUT = 3;
/** Longest random wait before the platform is asked for its list, so that a data centre does not start at once. */
export const LIST_JITTER_MS = 1_000;
/** How long a dead member is remembered; longer than stale gossip travels. */
export const DEAD_RETENTION_MS = 600_000;

/** Extra pings, out of turn, that carry an urgent fact, and the shortest time between two bursts. */
export const URGENT_FANOUT = 2;
export const URGENT_INTERVAL_MS = 200;
/** Members that are told at once when this daemon leaves. */
export const LEAVE_FANOUT = 4;

export const MS_PER_SECOND = 1_000;

export const PING_INTERVAL_MS = 1_000;
export const PING_TIMEOUT_MS = 500;
export const INDIRECT_TIMEOUT_MS = 1_000;
export const SYNC_TIMEOUT_MS = 3_000;
/** Number of members asked to ping a member that did not answer a direct ping. */
export const INDIRECT_HELPER_COUNT = 3;

/**
 * A suspect has `SUSPICION_FACTOR * ceil(log10(records + 2))` ping intervals to refute the suspicion, but at least
 * `SUSPICION_MINIMUM_MS`. `records` is the number of member records, which don't include this daemon itself.
 */
export const SUSPICION_FACTOR = 4;
export const SUSPICION_MINIMUM_MS = 3_000;

/**
 * Each update is piggybacked on `RETRANSMIT_FACTOR * ceil(log10(records + 2))` messages, where `records` is the
 * same number as for `SUSPICION_FACTOR`.
 */
export const RETRANSMIT_FACTOR = 4;
export const GOSSIP_MEMBER_LIMIT = 8;
export const GOSSIP_NEWS_LIMIT = 8;
/** Maximum number of news items kept; beyond it, the items that expire first are dropped. */
export const NEWS_LIMIT = 1_024;
export const NEWS_LIFETIME_LIMIT_MS = 3_600_000;

/** Number of daemons per data centre that exchange gossip with other data centres. */
export const DELEGATE_COUNT = 2;
/** One in this many pings to another data centre targets a random member there instead of a delegate. */
export const REMOTE_RANDOM_EVERY_PINGS = 4;
/** A data centre without any contact for longer than this is considered unreachable. */
export const DATA_CENTRE_TIMEOUT_MS = 15_000;

/** Number of neighbours on the hash ring that `nearest_and_random` pings. */
export const NEIGHBOUR_COUNT = 3;
/** With `nearest_and_random`, one in this many pings targets a random member instead of a neighbour. */
export const RANDOM_PARTNER_EVERY_PINGS = 3;

/** Number of buckets of members, and of news, whose digests two daemons compare: a sync carries only those that differ. */
export const SYNC_BUCKET_COUNT = 16;
export const MAX_SYNC_INTERVAL_MS = 30_000;
export const LIST_VMS_INTERVAL_MS = 60_000;
export const JOIN_RETRY_MS = 1_000;
/** How long a starting daemon waits for its seeds before it lists the VMs of the platform. */
export const SEED_WAIT_MS = 2_000;
export const JOIN_FANOUT = 3;
/** Maximum random delay before the VM list is requested, so that a data centre does not request it all at once. */
export const LIST_VMS_JITTER_MS = 1_000;
/** How long the record of a dead member is kept; longer than stale gossip about it can circulate. */
export const DEAD_RETENTION_MS = 600_000;

/** Number of local members pinged immediately to spread an urgent update. */
export const URGENT_FANOUT = 2;
/** Minimum time between two rounds of urgent pings. */
export const URGENT_INTERVAL_MS = 200;
/** Number of local members pinged immediately when this daemon leaves. */
export const LEAVE_FANOUT = 4;

export const MS_PER_SECOND = 1_000;

/** Report interval of a VM without load, in milliseconds, unless the regular interval is longer. */
export const IDLE_REPORT_INTERVAL_MS = 150;

/** Maximum number of placements in a datagram: each has an engine and some three parts, 70 bytes; loads add 600. */
export const PLACEMENTS_PER_DATAGRAM = 10;

/** Maximum number of cached parts in a datagram, some 20 bytes each. */
export const PARTS_PER_DATAGRAM = 50;

/** Maximum number of samples of workers' paces in a datagram, 6 to 8 bytes each. */
export const PACE_SAMPLES_PER_DATAGRAM = 150;

/** Interval at which a starting VM requests the engines' cached parts until a peer replies, in milliseconds. */
export const CACHE_REQUEST_INTERVAL_MS = 300;

/** Maximum number of such requests. A VM starts without the data if no peer has any, as after a loss of all VMs. */
export const MAX_CACHE_REQUESTS = 8;

/** Maximum number of parts with evidence about crashes in a datagram: each takes 130 bytes if it has many crashes. */
export const PARTS_WITH_EVIDENCE_PER_DATAGRAM = 9;

/** Maximum number of parts about which a starting VM receives evidence at once. */
export const MAX_STARTUP_PARTS = 90;

/** Interval at which VMs tell of workers that a restored store lists although they have left, in milliseconds. */
export const OUTDATED_INTERVAL_MS = 150;

/** Maximum number of these workers in a datagram, some 10 bytes each. */
export const MAX_OUTDATED_WORKERS = 100;

/** Maximum number of origins of streams in a datagram, some 22 bytes each. */
export const ORIGINS_PER_DATAGRAM = 40;

/** Maximum number of origins that a starting VM receives at once; the newest are sent. */
export const MAX_STARTUP_ORIGINS = 1_000;

/** Maximum number of hosts whose unreadable messages are logged, each once. */
export const MAX_LOGGED_SENDERS = 256;

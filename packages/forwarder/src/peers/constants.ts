/** Least time between two reports, in milliseconds: an engine reads 2,800 prompt tokens in it. */
export const LEAST_REPORT_INTERVAL_MS = 50;

/**
 * Time between two reports for each other VM, in milliseconds: with 84 others a VM hears of each three times a
 * second, which keeps what it spends on reports the same at any size of the fleet.
 */
export const REPORT_INTERVAL_PER_PEER_MS = 4;

/** A VM without work says that it lives this often, in milliseconds. */
export const QUIET_REPORT_INTERVAL_MS = 1_000;

/** Largest datagram that is sent in one piece, in bytes. */
export const DATAGRAM_LIMIT_BYTES = 1_400;

/** Placements that one report names at most; older ones are left out. */
export const PLACEMENT_LIMIT = 16;

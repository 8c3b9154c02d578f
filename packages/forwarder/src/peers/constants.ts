/** A VM without work says that it lives this often, in milliseconds, or as often as reports may go out. */
export const IDLE_REPORT_INTERVAL_MS = 150;

/** Placements in one datagram: each names an engine and some three parts, 70 bytes, and loads take 600 more. */
export const PLACEMENTS_PER_DATAGRAM = 10;

/** Parts in one datagram of a memory's description: some 20 bytes each. */
export const PARTS_PER_DATAGRAM = 50;

/** A VM that starts asks another for the engines' memories this often, until one answers, in milliseconds. */
export const CACHE_REQUEST_INTERVAL_MS = 300;

/** How often it asks at most: where no other VM knows anything, as after a loss of all, it starts without. */
export const MAX_CACHE_REQUESTS = 8;

/**
 * How long a watch waits for a change, in milliseconds. A connection that has fallen silent is noticed
 * after this and the margin, which leaves the rest of the bound for the call that replaces it.
 */
export const WATCH_WAIT_MS = 3_000;

/** First and longest pause before a failed call is repeated, in milliseconds. */
export const FIRST_RETRY_MS = 100;
export const LONGEST_RETRY_MS = 1_000;

/** A store that did not answer for this long counts as having been away, in milliseconds. */
export const AWAY_AFTER_MS = 700;

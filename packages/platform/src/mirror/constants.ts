/**
 * Pause between a watch that brought changes and the next, in milliseconds: changes that come in series, as when a
 * fleet starts, are fetched together. Every call is priced, and drains have seconds.
 */
export const COALESCE_MS = 250;

/** First and longest pause before a failed call is repeated, in milliseconds. */
export const FIRST_RETRY_MS = 100;
export const LONGEST_RETRY_MS = 1_000;

/** A store that did not answer for this long counts as having been away, in milliseconds. */
export const AWAY_AFTER_MS = 700;

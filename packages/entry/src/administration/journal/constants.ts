/** Requests that the journal keeps. */
export const JOURNAL_REQUEST_LIMIT = 2_000;

/** Decisions kept from the beginning of a request. */
export const FIRST_DECISION_LIMIT = 24;

/** Decisions kept from the end of a request. */
export const LAST_DECISION_LIMIT = 8;

/** Longest detail of a decision, in characters. */
export const DETAIL_LIMIT = 200;

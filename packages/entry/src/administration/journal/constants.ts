/** Number of requests kept in the journal. */
export const JOURNAL_REQUEST_LIMIT = 2_000;

/** Number of decisions kept from the start of a request. */
export const FIRST_DECISION_LIMIT = 24;

/** Number of decisions kept from the end of a request. */
export const LAST_DECISION_LIMIT = 8;

/** Longest detail of a decision, in characters; the rest is cut off. */
export const DETAIL_LIMIT_CHARACTERS = 200;

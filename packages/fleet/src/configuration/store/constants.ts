export const CONFIGURATION_KIND = 'configuration';
export const CONFIGURATION_NAME = 'current';
export const HISTORY_KIND = 'configuration-history';
/** Number of generations kept in the history; generation N overwrites generation N - HISTORY_LENGTH. */
export const HISTORY_LENGTH = 1_000;
/** Maximum number of attempts of a write; an attempt fails, for example, if a drain mark is written concurrently. */
export const WRITE_ATTEMPT_LIMIT = 8;
export const DIFF_CONTEXT_LINES = 3;
export const HISTORY_PAGE_LIMIT = 50;

export const CONFIGURATION_KIND = 'configuration';
export const CONFIGURATION_NAME = 'current';
export const HISTORY_KIND = 'configuration-history';
/** Generations kept in the history; a newer one takes the place of the one this far below it. */
export const HISTORY_LENGTH = 1_000;
/** Races that a write may lose to drain marks before it gives up. */
export const WRITE_ATTEMPTS = 8;
export const DIFF_CONTEXT_LINES = 3;
export const HISTORY_PAGE_LIMIT = 50;

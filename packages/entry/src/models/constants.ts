/** Token limit of an answer if the caller sets none. */
export const DEFAULT_MAX_TOKENS = 1_024;

/** Largest token limit that a caller may set. */
export const MAX_TOKENS_LIMIT = 131_072;

/** Number of tokens between two progress reports to the dispatcher. */
export const PROGRESS_INTERVAL_TOKENS = 64;

/** The timeout between two tokens is this many times the class's target interval, within the bounds below. */
export const TOKEN_TIMEOUT_FACTOR = 40;

/** Bounds of the timeout between two tokens. */
export const MIN_TOKEN_TIMEOUT_MS = 2_000;
export const MAX_TOKEN_TIMEOUT_MS = 5_000;

/** Bounds of the timeout before the first token. */
export const MIN_FIRST_TOKEN_TIMEOUT_MS = 3_000;
export const MAX_FIRST_TOKEN_TIMEOUT_MS = 30_000;

/**
 * The timeout before the first token is this many times the class's first-token target, limited by the share of the
 * remaining time below and then by the bounds above.
 */
export const FIRST_TOKEN_TIMEOUT_FACTOR = 4;

/** Share of the time until the deadline that an attempt may wait for its first token. */
export const FIRST_TOKEN_TIMEOUT_DEADLINE_SHARE = 0.3;

/** Maximum text length of an answer that is not streamed. */
export const COLLECTED_ANSWER_LIMIT_CHARACTERS = 4_000_000;

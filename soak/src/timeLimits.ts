/**
 * Deadlines that callers send with each request, in milliseconds: one that the silence of a sound worker exceeds, and one
 * that it does not.
 */
export const DEADLINES_MS: readonly number[] = [1_500, 6_000];

/** Time limit of the routes, in milliseconds: between the two deadlines. */
export const ROUTE_TIMEOUT_MS = 5_600;

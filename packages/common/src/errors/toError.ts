/**
 * Returns what was thrown as an error.
 *
 * @param thrown - anything that was thrown, or with which a promise was rejected
 * @returns it, if it is an error; otherwise an error with its text
 */
export const toError = (thrown: unknown): Error =>
  thrown instanceof Error ? thrown : new Error(String(thrown));

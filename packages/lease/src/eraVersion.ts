/** Number of revisions of one era; eras up to 2^20 keep the sum below the largest exact integer. */
const REVISIONS_PER_ERA = 2 ** 33;

/**
 * Combines era and revision of a store into one number that is unique across restores of the store and rises with each
 * change.
 *
 * @param era - number of times that the store has been restored from an older copy
 * @param revision - revision of the object within the era
 * @returns the version
 */
export const buildEraVersion = (era: number, revision: number): number =>
  era * REVISIONS_PER_ERA + revision;

/**
 * @param version - result of `buildEraVersion`, or a version of a platform that knows no eras
 * @returns the era in which the version was written; 0 for a platform that knows no eras
 */
export const getVersionEra = (version: number): number => Math.floor(version / REVISIONS_PER_ERA);

/**
 * @param version - result of `buildEraVersion`
 * @returns the revision within the era
 */
export const getVersionRevision = (version: number): number => version % REVISIONS_PER_ERA;

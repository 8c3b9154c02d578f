import type { StoreVersion } from './types.js';

/** Version before the first change of a store that has never been restored. */
export const INITIAL_VERSION: StoreVersion = { era: 0, revision: 0 };

/**
 * Compares two versions: by era first, since revisions are given out again after a restore.
 *
 * @returns a negative number if the first one is older, 0 if both are the same, a positive number if it is newer
 */
export const compareVersions = (left: StoreVersion, right: StoreVersion): number =>
  left.era === right.era ? left.revision - right.revision : left.era - right.era;

/** @returns the later one of two versions */
export const selectLaterVersion = (left: StoreVersion, right: StoreVersion): StoreVersion =>
  compareVersions(left, right) >= 0 ? left : right;

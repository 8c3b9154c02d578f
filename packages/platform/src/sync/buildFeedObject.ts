import type { FeedObject } from './types.js';

/** Maximum number of levels of lists and objects in the value of an object. */
const MAX_LEVELS = 64;

const listChildren = (value: unknown): readonly unknown[] =>
  typeof value === 'object' && value !== null ? Object.values(value) : [];

/** Does not recurse: the value may have more levels than the stack. */
const isNestedTooDeeply = (value: unknown): boolean => {
  let level: readonly unknown[] = [value];
  for (let depth = 0; depth <= MAX_LEVELS; depth += 1) {
    level = level.flatMap(listChildren);
    if (level.length === 0) return false;
  }
  return true;
};

/**
 * Builds an object of the feed from what the store or another VM has sent. A value that is nested too deeply to be compared
 * or sent on is left out.
 *
 * @param received - the object as it was received
 * @returns the object; its value is null if it was left out
 */
export const buildFeedObject = (received: FeedObject): FeedObject =>
  isNestedTooDeeply(received.value)
    ? { ...received, value: null, fault: `nested more than ${MAX_LEVELS} levels deep` }
    : received;

/**
 * Builds an object of the feed of which only the name can be read.
 *
 * @param name - its name
 * @param fault - why the rest cannot be read
 * @returns the object, without a value
 */
export const buildOddFeedObject = (name: string, fault: string): FeedObject => ({
  name,
  value: null,
  revision: 0,
  isDeleting: false,
  fault,
});

import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Hashes a key into the format used in the configuration and in settings.
 *
 * @param key - key sent by a caller or an operator
 * @returns its SHA-256 in lower-case hex
 */
export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

/**
 * Compares a key with several hashes in constant time, so that timing reveals nothing about partial matches.
 *
 * @param key - key sent by a caller or an operator
 * @param hashes - SHA-256 digests in lower-case hex
 * @returns whether one of the hashes is the hash of the key
 */
export const matchKey = (key: string, hashes: readonly string[]): boolean => {
  const digest = createHash('sha256').update(key).digest();
  let isMatch = false;
  for (const hash of hashes) {
    const expected = Buffer.from(hash, 'hex');
    // No early exit: all hashes are compared, even after a match.
    if (expected.length === digest.length && timingSafeEqual(expected, digest)) isMatch = true;
  }
  return isMatch;
};

import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Hashes a key as configuration and settings hold it.
 *
 * @param key - the key that a caller or an operator sends
 * @returns its SHA-256 in lower-case hex
 */
export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

/**
 * Tells whether a key is one of several, in a time that does not depend on how near it comes.
 *
 * @param key - the key that was sent
 * @param hashes - SHA-256 digests in lower-case hex
 * @returns whether one of them is the key's
 */
export const matchKey = (key: string, hashes: readonly string[]): boolean => {
  const digest = createHash('sha256').update(key).digest();
  let isMatch = false;
  for (const hash of hashes) {
    const known = Buffer.from(hash, 'hex');
    // No early exit: each hash is compared, whichever matches.
    if (known.length === digest.length && timingSafeEqual(known, digest)) isMatch = true;
  }
  return isMatch;
};

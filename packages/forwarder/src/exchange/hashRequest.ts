import { createHash } from 'node:crypto';

import { toBranded } from '@sardinegrade/common';

import type { Fingerprint } from '@sardinegrade/common';

/** Length of a fingerprint; 22 characters of base64url hold 132 bits. */
const FINGERPRINT_CHARACTERS = 22;

/**
 * Computes the fingerprint that identifies a request on any VM when the caller sends it again.
 *
 * @param path - path and query of the request
 * @param key - API key of the caller
 * @param body - body of the request
 * @returns a truncated SHA-256 digest of all three
 */
export const hashRequest = (
  path: string,
  key: string | undefined,
  body: Buffer | undefined,
): Fingerprint => {
  const hash = createHash('sha256')
    .update(path)
    .update('\n')
    .update(key ?? '')
    .update('\n');
  if (body !== undefined) hash.update(body);
  return toBranded(hash.digest('base64url').slice(0, FINGERPRINT_CHARACTERS));
};

import { createHash } from 'node:crypto';

import { toBranded } from '@sardinegrade/common';

import type { Fingerprint } from '@sardinegrade/common';

const FINGERPRINT_CHARACTERS = 22;

/**
 * Computes the fingerprint by which a request is recognised when it is sent again, at any VM.
 *
 * @param path - path and query
 * @param key - the caller's key
 * @param body - the body
 * @returns a digest of all three
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

import { createHash } from 'node:crypto';

import type { ServiceName, WorkspaceName } from '@sardinegrade/common';
import type { ServiceRequest } from './types.js';

const hashParts = (parts: readonly (string | Buffer)[]): string => {
  const hash = createHash('sha256');
  for (const part of parts) {
    const bytes = typeof part === 'string' ? Buffer.from(part) : part;
    hash.update(`${bytes.length}:`).update(bytes);
  }
  return hash.digest('base64url');
};

/**
 * Derives the name of an order's record; keys of other workspaces and services never share it.
 *
 * @param workspace - whose order it is
 * @param service - the service called
 * @param key - the caller's `Idempotency-Key`
 * @returns a name that the platform accepts
 */
export const deriveOrderName = (
  workspace: WorkspaceName,
  service: ServiceName,
  key: string,
): string => hashParts([workspace, service, key]);

/**
 * Derives the key that the service sees.
 *
 * @param workspace - whose order it is
 * @param key - the caller's `Idempotency-Key`
 * @returns the key with its workspace before it, so that workspaces cannot meet in the service
 */
export const deriveScopedKey = (workspace: WorkspaceName, key: string): string =>
  `${workspace}/${key}`;

/**
 * Digests a request, to tell a resend from another request under the same key.
 *
 * @param request - the caller's request
 * @returns digest of method, path, type and encoding of the body, and the body
 */
export const hashRequest = (request: ServiceRequest): string =>
  hashParts([
    request.method,
    request.path,
    request.headers['content-type'] ?? '',
    request.headers['content-encoding'] ?? '',
    request.body,
  ]);

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
 * Derives the name of an order's record. Equal keys in different workspaces or services have different names.
 *
 * @param workspace - workspace of the caller
 * @param service - service that the order calls
 * @param key - the caller's `Idempotency-Key`
 * @returns a name that the platform accepts
 */
export const deriveOrderName = (
  workspace: WorkspaceName,
  service: ServiceName,
  key: string,
): string => hashParts([workspace, service, key]);

/**
 * Derives the key that is sent to the service.
 *
 * @param workspace - workspace of the caller
 * @param key - the caller's `Idempotency-Key`
 * @returns the key prefixed with the workspace, so that keys of different workspaces cannot collide in the service
 */
export const deriveScopedKey = (workspace: WorkspaceName, key: string): string =>
  `${workspace}/${key}`;

/**
 * Computes the digest of a request, which distinguishes a repeat from another request with the same key.
 *
 * @param request - the caller's request
 * @returns digest of method, path, content type, content encoding and body
 */
export const hashRequest = (request: ServiceRequest): string =>
  hashParts([
    request.method,
    request.path,
    request.headers['content-type'] ?? '',
    request.headers['content-encoding'] ?? '',
    request.body,
  ]);

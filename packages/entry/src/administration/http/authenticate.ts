import { createHash, timingSafeEqual } from 'node:crypto';

import { ResultCode } from '@sardinegrade/common';

import { ApiError } from '../errors.js';

import type { AdministratorRole } from '@sardinegrade/common';
import type { Administrator } from '../types.js';

const BEARER = /^Bearer +([\x21-\x7e]+) *$/i;

const matchHash = (digest: Buffer, keyHash: string): boolean => {
  const expected = Buffer.from(keyHash, 'hex');
  return expected.length === digest.length && timingSafeEqual(expected, digest);
};

/**
 * Finds the administrator that a request's bearer key belongs to.
 *
 * @param administrators - all configured administrators
 * @param authorization - the `Authorization` header
 * @returns the administrator
 * @throws ApiError if there is no key or no administrator has it
 */
export const findAdministrator = (
  administrators: readonly Administrator[],
  authorization: string | undefined,
): Administrator => {
  const key = BEARER.exec(authorization ?? '')?.[1];
  if (key === undefined) {
    throw new ApiError(ResultCode.MissingKey, 'The Authorization header carries no bearer key.');
  }
  const digest = createHash('sha256').update(key).digest();
  let found: Administrator | undefined;
  // Compares every hash, so that the response time does not reveal which one matched.
  for (const administrator of administrators) {
    for (const keyHash of administrator.keyHashes) {
      if (matchHash(digest, keyHash)) found = administrator;
    }
  }
  if (found === undefined)
    throw new ApiError(ResultCode.InvalidKey, 'The key names no administrator.');
  return found;
};

/**
 * Checks that an administrator has a role.
 *
 * @param administrator - sender of the request
 * @param role - role that the route requires
 * @throws ApiError if the administrator does not have the role
 */
export const requireRole = (administrator: Administrator, role: AdministratorRole): void => {
  if (administrator.roles.has(role)) return;
  const message = `Administrator '${administrator.name}' lacks the role '${role}'.`;
  throw new ApiError(ResultCode.RoleMissing, message);
};

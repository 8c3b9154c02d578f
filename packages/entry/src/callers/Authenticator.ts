import { createHash, timingSafeEqual } from 'node:crypto';

import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import type { IncomingMessage } from 'node:http';
import type { Configuration, WorkspaceConfiguration } from '@sardinegrade/common';

const BEARER = /^Bearer +(\S+)$/i;

/** Only this many leading characters of a key are hashed. */
const HASHED_KEY_CHARACTERS = 512;

interface KnownKey {
  readonly digest: Buffer;
  readonly workspace: WorkspaceConfiguration;
}

/** Authenticates callers: finds the workspace that a key belongs to. */
export class Authenticator {
  readonly #keysByConfiguration = new WeakMap<Configuration, ReadonlyMap<string, KnownKey>>();

  /**
   * Finds the workspace of a request by its key.
   *
   * @param request - a request with the header `Authorization: Bearer KEY`
   * @param configuration - the active configuration
   * @returns the workspace that the key belongs to
   * @throws SardinegradeError with code 1001 if there is no key, 1002 if it belongs to no workspace
   */
  readonly findWorkspace = (
    request: IncomingMessage,
    configuration: Configuration,
  ): WorkspaceConfiguration => {
    const key = BEARER.exec(request.headers.authorization ?? '')?.[1];
    if (key === undefined) {
      throw new SardinegradeError(
        ResultCode.MissingKey,
        'Send a workspace key as "Authorization: Bearer KEY".',
      );
    }
    const digest = createHash('sha256').update(key.slice(0, HASHED_KEY_CHARACTERS)).digest();
    // The look-up uses the digest, so its timing reveals nothing about other keys.
    const knownKey = this.#getKeys(configuration).get(digest.toString('hex'));
    if (knownKey === undefined || !timingSafeEqual(knownKey.digest, digest)) {
      throw new SardinegradeError(ResultCode.InvalidKey, 'The key names no workspace.');
    }
    return knownKey.workspace;
  };

  readonly #getKeys = (configuration: Configuration): ReadonlyMap<string, KnownKey> => {
    const cachedKeys = this.#keysByConfiguration.get(configuration);
    if (cachedKeys !== undefined) return cachedKeys;
    const keys = new Map<string, KnownKey>();
    for (const workspace of configuration.workspaces.values()) {
      for (const hash of workspace.keyHashes) {
        keys.set(hash, { digest: Buffer.from(hash, 'hex'), workspace });
      }
    }
    this.#keysByConfiguration.set(configuration, keys);
    return keys;
  };
}

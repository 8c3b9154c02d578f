import { createHash, timingSafeEqual } from 'node:crypto';

import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import type { IncomingMessage } from 'node:http';
import type { Configuration, WorkspaceConfiguration } from '@sardinegrade/common';

const BEARER = /^Bearer +(\S+)$/i;
const KEY_LIMIT = 512;

interface KnownKey {
  readonly digest: Buffer;
  readonly workspace: WorkspaceConfiguration;
}

/** Finds the workspace that a key names. */
export class Authenticator {
  readonly #known = new WeakMap<Configuration, ReadonlyMap<string, KnownKey>>();

  /**
   * Finds the workspace of a request.
   *
   * @param request - a request with `Authorization: Bearer KEY`
   * @param configuration - the configuration in force
   * @returns the workspace
   * @throws SardinegradeError with code 1001 without a key, 1002 with one that names no workspace
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
    const digest = createHash('sha256').update(key.slice(0, KEY_LIMIT)).digest();
    // The look-up is by digest, which tells a caller nothing about a key that differs from its own.
    const known = this.#getKeys(configuration).get(digest.toString('hex'));
    if (known === undefined || !timingSafeEqual(known.digest, digest)) {
      throw new SardinegradeError(ResultCode.InvalidKey, 'The key names no workspace.');
    }
    return known.workspace;
  };

  readonly #getKeys = (configuration: Configuration): ReadonlyMap<string, KnownKey> => {
    const known = this.#known.get(configuration);
    if (known !== undefined) return known;
    const keys = new Map<string, KnownKey>();
    for (const workspace of configuration.workspaces.values()) {
      for (const hash of workspace.keyHashes) {
        keys.set(hash, { digest: Buffer.from(hash, 'hex'), workspace });
      }
    }
    this.#known.set(configuration, keys);
    return keys;
  };
}

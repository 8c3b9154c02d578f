import { setTimeout as sleep } from 'node:timers/promises';

import { CONFIRM_ATTEMPTS, CONFIRM_DELAY_MS } from './constants.js';
import { PlatformError, PlatformFailure } from './PlatformError.js';
import { WriteOutcome } from './types.js';

import type { ObjectWrite, PlatformClient, PlatformObject, WriteResult } from './types.js';

/** The calls that a confirmed write needs. */
type ObjectCalls = Pick<PlatformClient, 'read' | 'write'>;

/** Number of read-backs of a confirmed write, and its sources of delays and randomness. */
export interface ConfirmOptions {
  readonly attempts?: number;
  readonly sleepMs?: (delayMs: number) => Promise<unknown>;
  readonly random?: () => number;
}

const isUncertain = (error: unknown): boolean =>
  error instanceof PlatformError && error.failure === PlatformFailure.Uncertain;

const isTransient = (error: unknown): boolean =>
  error instanceof PlatformError && error.failure !== PlatformFailure.Invalid;

/** Derives the outcome of an uncertain write from the current object; undefined if it can be sent again. */
const compareWithCurrent = (
  write: ObjectWrite,
  current: PlatformObject | undefined,
): WriteResult | undefined => {
  if (current?.changeId === write.changeId) {
    return { outcome: WriteOutcome.Written, version: current.version };
  }
  if ((current?.version ?? 0) === write.ifVersion) return undefined;
  return { outcome: WriteOutcome.Conflict, current, mayHaveTakenEffect: true };
};

/** Sends the write again; the condition on the version allows at most one of the copies to take effect. */
const retryWrite = async (client: ObjectCalls, write: ObjectWrite): Promise<WriteResult> => {
  const result = await client.write(write);
  if (result.outcome === WriteOutcome.Written) return result;
  return compareWithCurrent(write, result.current) ?? result;
};

const confirmOnce = async (client: ObjectCalls, write: ObjectWrite): Promise<WriteResult> => {
  const current = await client.read(write.kind, write.name);
  return compareWithCurrent(write, current) ?? (await retryWrite(client, write));
};

/**
 * Writes an object and determines the outcome if the response is lost.
 *
 * After a lost response, the object is first read back and its change id compared. If the object still has the old
 * version, the same write is sent again: the condition on the version keeps it from taking effect twice.
 *
 * @param client - the platform
 * @param write - the conditional write; its change id must be unique to this change
 * @param options - number of read-backs, and sources of delays and randomness
 * @returns the outcome; after a conflict with `mayHaveTakenEffect`, another writer replaced the write or prevented it
 * @throws PlatformError `unavailable` or `limited` if the first attempt cannot have had an effect,
 * `invalid` if the first attempt or a read-back was rejected or its response violates the protocol, `uncertain` if no
 * read-back succeeded
 */
export const writeConfirmed = async (
  client: ObjectCalls,
  write: ObjectWrite,
  options: ConfirmOptions = {},
): Promise<WriteResult> => {
  const sleepMs = options.sleepMs ?? sleep;
  const random = options.random ?? Math.random;
  let lastError: unknown;
  try {
    return await client.write(write);
  } catch (error) {
    if (!isUncertain(error)) throw error;
    lastError = error;
  }
  const attempts = options.attempts ?? CONFIRM_ATTEMPTS;
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    try {
      return await confirmOnce(client, write);
    } catch (error) {
      if (!isTransient(error)) throw error;
      lastError = error;
    }
    await sleepMs(CONFIRM_DELAY_MS * 2 ** attempt * (0.5 + random() / 2));
  }
  throw new PlatformError(
    PlatformFailure.Uncertain,
    'The outcome of a write could not be read back.',
    lastError,
  );
};

import { setTimeout as sleep } from 'node:timers/promises';

import { CONFIRM_ATTEMPTS, CONFIRM_DELAY_MS } from './constants.js';
import { PlatformError, PlatformFailure } from './PlatformError.js';
import { WriteOutcome } from './types.js';

import type { ObjectWrite, PlatformClient, PlatformObject, WriteResult } from './types.js';

/** Sources of time and chance of a confirmed write. */
export interface ConfirmOptions {
  readonly attempts?: number;
  readonly sleepMs?: (delayMs: number) => Promise<unknown>;
  readonly random?: () => number;
}

const isUncertain = (error: unknown): boolean =>
  error instanceof PlatformError && error.failure === PlatformFailure.Uncertain;

const isTransient = (error: unknown): boolean =>
  error instanceof PlatformError && error.failure !== PlatformFailure.Invalid;

/** Judges an uncertain write by the object that stands now; undefined where the write can be sent again. */
const compareStanding = (
  write: ObjectWrite,
  current: PlatformObject | undefined,
): WriteResult | undefined => {
  if (current?.changeId === write.changeId) {
    return { outcome: WriteOutcome.Written, version: current.version };
  }
  if ((current?.version ?? 0) === write.ifVersion) return undefined;
  return { outcome: WriteOutcome.Conflict, current, mayHaveTakenEffect: true };
};

/** Sends the write again; its condition lets at most one of the copies take effect. */
const sendAgain = async (client: PlatformClient, write: ObjectWrite): Promise<WriteResult> => {
  const result = await client.write(write);
  if (result.outcome === WriteOutcome.Written) return result;
  return compareStanding(write, result.current) ?? result;
};

const settleOnce = async (client: PlatformClient, write: ObjectWrite): Promise<WriteResult> => {
  const current = await client.read(write.kind, write.name);
  return compareStanding(write, current) ?? (await sendAgain(client, write));
};

/**
 * Writes an object and finds out how the write ended when its answer is lost.
 *
 * The object is read back and its change id compared before anything else. Where the old version
 * still stands, the same write is sent again: the condition on the version keeps it from taking
 * effect twice.
 *
 * @param client - the platform
 * @param write - the conditional write; its change id must be unique to this change
 * @param options - number of read-backs, and sources of time and chance
 * @returns the outcome; a conflict with `mayHaveTakenEffect` was overwritten by, or lost to, another writer
 * @throws PlatformError `unavailable` or `limited` where the first attempt surely had no effect,
 * `uncertain` where no read-back succeeded
 */
export const writeConfirmed = async (
  client: PlatformClient,
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
      return await settleOnce(client, write);
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

import { setTimeout as sleep } from 'node:timers/promises';

/**
 * Waits for a time, or until a signal aborts.
 *
 * @param durationMs - the time to wait, in milliseconds
 * @param signal - aborts when the run ends
 * @returns true after the full time, false if the signal aborted first
 */
export const waitUnlessAborted = async (
  durationMs: number,
  signal: AbortSignal,
): Promise<boolean> => {
  try {
    await sleep(durationMs, undefined, { signal });
    return true;
  } catch {
    return false;
  }
};

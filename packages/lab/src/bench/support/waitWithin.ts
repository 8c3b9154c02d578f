import { setTimeout as sleep } from 'node:timers/promises';

/**
 * Waits, unless a run ends before.
 *
 * @param durationMs - how long
 * @param signal - aborts when the run ends
 * @returns whether the run goes on
 */
export const waitWithin = async (durationMs: number, signal: AbortSignal): Promise<boolean> => {
  try {
    await sleep(durationMs, undefined, { signal });
    return true;
  } catch {
    return false;
  }
};

import { setTimeout as sleep } from 'node:timers/promises';

const POLL_INTERVAL_MS = 20;
const TIMEOUT_MS = 30_000;

/**
 * Waits until a condition holds.
 *
 * @param description - what is waited for, for the error's message
 * @param check - the condition; a rejection counts as not yet
 * @param timeoutMs - how long to wait at most
 * @throws Error where it does not hold in time
 */
export const waitUntil = async (
  description: string,
  check: () => boolean | Promise<boolean>,
  timeoutMs = TIMEOUT_MS,
): Promise<void> => {
  const deadlineAtMs = Date.now() + timeoutMs;
  let lastError: unknown;
  while (Date.now() < deadlineAtMs) {
    try {
      if (await check()) return;
    } catch (error) {
      lastError = error;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`Not in time: ${description}`, { cause: lastError });
};

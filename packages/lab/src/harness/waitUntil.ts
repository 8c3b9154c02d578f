import { setTimeout as sleep } from 'node:timers/promises';

const POLL_INTERVAL_MS = 20;
const TIMEOUT_MS = 30_000;

/**
 * Polls a condition until it holds.
 *
 * @param description - description of the condition for the error message
 * @param check - returns whether the condition holds; if it throws or rejects, it is polled again
 * @param timeoutMs - time after which the wait fails, in milliseconds
 * @throws Error if the condition does not hold before the timeout; its cause is the last error of the check
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
  throw new Error(`Timed out waiting for: ${description}`, { cause: lastError });
};

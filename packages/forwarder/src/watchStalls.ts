import type { Logger } from '@sardinegrade/common';

/** How often the process looks whether it runs, in milliseconds: twice a second costs nothing to speak of. */
const CHECK_INTERVAL_MS = 500;

/** Delay of a look that is reported, in milliseconds: streams may pause for 250 at most. */
const MIN_STALL_MS = 250;

/** What a watch for stalls needs. */
export interface StallWatchOptions {
  readonly logger: Logger;
  /** Milliseconds of a clock that never goes back. */
  readonly getNowMs: () => number;
}

/**
 * Logs each time at which the process stood still, as when its VM was frozen or its processor taken: its requests
 * say only that they were late.
 *
 * @param options - clock and log
 * @returns stops the watch
 */
export const watchStalls = ({ logger, getNowMs }: StallWatchOptions): (() => void) => {
  let checkedAtMs = getNowMs();
  const timer = setInterval(() => {
    const nowMs = getNowMs();
    const durationMs = Math.round(nowMs - checkedAtMs - CHECK_INTERVAL_MS);
    checkedAtMs = nowMs;
    if (durationMs >= MIN_STALL_MS) logger.warn('process stood still', { durationMs });
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return () => clearInterval(timer);
};

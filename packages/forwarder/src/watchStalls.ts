import type { Logger } from '@sardinegrade/common';

/** Interval of the checks, in milliseconds: two per second have negligible cost. */
const CHECK_INTERVAL_MS = 500;

/** Minimum delay of a check that is logged, in milliseconds: the smallest target for the gap between two events of a stream. */
const MIN_STALL_MS = 250;

/** Dependencies of `watchStalls`. */
export interface StallWatchOptions {
  readonly logger: Logger;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
}

/**
 * Logs each stall of the process, for example because its VM was suspended or it got no CPU time. The log lines of the
 * affected requests show only that they were late.
 *
 * @param options - clock and logger
 * @returns a function that stops the checks
 */
export const watchStalls = ({ logger, getNowMs }: StallWatchOptions): (() => void) => {
  let checkedAtMs = getNowMs();
  const timer = setInterval(() => {
    const nowMs = getNowMs();
    const durationMs = Math.round(nowMs - checkedAtMs - CHECK_INTERVAL_MS);
    checkedAtMs = nowMs;
    if (durationMs >= MIN_STALL_MS) logger.warn('process was suspended or blocked', { durationMs });
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return () => clearInterval(timer);
};

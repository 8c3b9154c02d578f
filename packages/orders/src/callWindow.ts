import type { OrderServiceOptions } from './types.js';

/** The period during which a recorded attempt may still call the service. */
export interface CallWindow {
  /** Checked right before the call; once it has returned false, it never returns true again. */
  readonly canStart: () => boolean;
}

/**
 * Opens a call window. It must be opened before the attempt's record is sent to the platform, so that it
 * closes in this process no later than any daemon that reads the record assumes.
 *
 * @param options - wall clock, monotonic clock and the length of the window
 * @returns the window; it closes when either clock has passed the limit, or when the wall clock went back
 */
export const openCallWindow = (
  options: Pick<OrderServiceOptions, 'clock' | 'getMonotonicMs' | 'timings'>,
): CallWindow => {
  const { clock, getMonotonicMs, timings } = options;
  const openedAtMs = clock.getNowMs();
  const openedAtMonotonicMs = getMonotonicMs();
  let isOpen = true;

  const canStart = (): boolean => {
    const elapsedMs = clock.getNowMs() - openedAtMs;
    const elapsedMonotonicMs = getMonotonicMs() - openedAtMonotonicMs;
    isOpen &&= elapsedMs >= 0 && Math.max(elapsedMs, elapsedMonotonicMs) < timings.callWindowMs;
    return isOpen;
  };

  return { canStart };
};

import type { OrderServiceOptions } from './types.js';

/** The time within which a recorded attempt may still call the service. */
export interface CallWindow {
  /** Asked right before the call; once false, it stays false. */
  readonly canStart: () => boolean;
}

/**
 * Opens a call window, before the attempt's record is sent to the platform, so that it closes no later
 * here than for any daemon that reads the record.
 *
 * @param options - clocks and timings
 * @returns the window; it closes by whichever clock has gone further, or when one went back
 */
export const openCallWindow = (
  options: Pick<OrderServiceOptions, 'clock' | 'getMonotonicMs' | 'timings'>,
): CallWindow => {
  const { clock, getMonotonicMs, timings } = options;
  const openedAtMs = clock.getNowMs();
  const openedAtMonotonicMs = getMonotonicMs();
  let isOpen = true;

  const canStart = (): boolean => {
    const passedMs = clock.getNowMs() - openedAtMs;
    const passedMonotonicMs = getMonotonicMs() - openedAtMonotonicMs;
    isOpen &&= passedMs >= 0 && Math.max(passedMs, passedMonotonicMs) < timings.callWindowMs;
    return isOpen;
  };

  return { canStart };
};

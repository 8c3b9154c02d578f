import type { FleetClock } from './FleetClock.js';
import type { UsagePage, UsageRequest } from './types.js';
import type { UsageCounter } from './UsageCounter.js';

/** What a VM tells about the requests that began to run on it. */
export interface UsageSource {
  readonly counter: UsageCounter;
  readonly clock: FleetClock;
  /** Reads the wall clock, in milliseconds. */
  readonly getWallMs: () => number;
}

/**
 * Builds the response of a VM to the holder, after the VM has taken over the fleet time that the holder states.
 *
 * @param source - counts and clock of the VM
 * @param request - what the holder states and asks
 * @returns the counts and clocks of the VM
 */
export const buildUsagePage = (
  { counter, clock, getWallMs }: UsageSource,
  { firstWindow, timeMs }: UsageRequest,
): UsagePage => {
  if (timeMs !== undefined) clock.setTime(timeMs);
  return {
    process: counter.process,
    wallMs: getWallMs(),
    timeMs: clock.timeMs,
    windows: counter.list(firstWindow),
  };
};

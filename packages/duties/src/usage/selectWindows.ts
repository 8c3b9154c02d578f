import { computeWindow, computeWindowEndMs } from './windows.js';

/** Time after the end of a window at which it is reported at the earliest, in milliseconds. */
export const EARLIEST_REPORT_MS = 2_500;

/** Time after the end of a window until which its report is sent, in milliseconds. */
export const LATEST_REPORT_MS = 30_000;

/**
 * Part of the time until a report is due after which the last known counts of VMs that do not respond are used. Each VM has
 * been fetched twice since the window's end then; the rest of the time is for the record and the report.
 */
const WAIT_SHARE = 0.5;

/** State of a window, and of the holder. */
export interface WindowState {
  /** Time since the end of the window, in milliseconds. */
  readonly sinceEndMs: number;
  /** Time since this VM has become the holder, in milliseconds. */
  readonly heldMs: number;
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due, in milliseconds. */
  readonly dueMs: number;
  /** Returns whether the final counts of all VMs are known. */
  readonly hasAllCounts: () => boolean;
}

/**
 * Tells whether the content of a report is to be settled now.
 *
 * @param state - state of the window
 * @returns whether the counts are complete, or no more of them are awaited
 */
export const isReportReady = (state: WindowState): boolean => {
  const { sinceEndMs, heldMs, windowMs, dueMs, hasAllCounts } = state;
  if (sinceEndMs < EARLIEST_REPORT_MS) return false;
  if (hasAllCounts()) return true;
  // A new holder has fetched each VM at least once after the length of a window.
  return sinceEndMs >= dueMs * WAIT_SHARE && heldMs >= windowMs;
};

/**
 * Tells whether reports of a window are still sent.
 *
 * @param window - number of the window
 * @param timeMs - fleet time, in milliseconds
 * @param windowMs - length of a window, in milliseconds
 * @returns whether its end is recent enough
 */
export const isStillReported = (window: number, timeMs: number, windowMs: number): boolean =>
  timeMs - computeWindowEndMs(window, windowMs) <= LATEST_REPORT_MS;

/** What is known about the windows that are not recorded yet. */
export interface PendingWindows {
  /** Windows up to this one are never reported anew. */
  readonly highestWindow: number;
  /** Fleet time, in milliseconds. */
  readonly timeMs: number;
  readonly windowMs: number;
  /** Returns whether the content of a window's report is to be settled now. */
  readonly isReady: (window: number) => boolean;
}

/**
 * Lists the windows whose reports are to be recorded now, in their order: none is skipped that can still be reported.
 *
 * @param pending - what is known about them
 * @returns the windows
 */
export const listReadyWindows = ({
  highestWindow,
  timeMs,
  windowMs,
  isReady,
}: PendingWindows): readonly number[] => {
  const oldest = computeWindow(timeMs - LATEST_REPORT_MS, windowMs);
  const current = computeWindow(timeMs, windowMs);
  const ready: number[] = [];
  for (let window = Math.max(highestWindow + 1, oldest); window < current; window += 1) {
    if (!isReady(window)) break;
    ready.push(window);
  }
  return ready;
};

/** Number of windows whose counts a VM and the holder keep. */
export const KEPT_WINDOWS = 24;

/** How far ahead of the current window counts may be, in windows: clocks of VMs may differ. */
export const MAX_FUTURE_WINDOWS = 2;

/**
 * Computes the window in which a time falls.
 *
 * @param timeMs - fleet time, in milliseconds since the start of 1970
 * @param windowMs - length of a window, in milliseconds
 * @returns the number of the window
 */
export const computeWindow = (timeMs: number, windowMs: number): number =>
  Math.floor(timeMs / windowMs);

/**
 * Computes the end of a window.
 *
 * @param window - number of the window
 * @param windowMs - length of a window, in milliseconds
 * @returns fleet time of its end, in milliseconds
 */
export const computeWindowEndMs = (window: number, windowMs: number): number =>
  (window + 1) * windowMs;

/**
 * Tells whether counts of a window are kept.
 *
 * @param window - number of the window
 * @param current - number of the current window
 * @returns whether it is one of the last windows, and not too far in the future
 */
export const isKeptWindow = (window: number, current: number): boolean =>
  window > current - KEPT_WINDOWS && window <= current + MAX_FUTURE_WINDOWS;

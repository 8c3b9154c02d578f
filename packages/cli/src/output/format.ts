const MS_PER_SECOND = 1_000;
const SECONDS_PER_MINUTE = 60;
const MINUTES_PER_HOUR = 60;
const HOURS_PER_DAY = 24;

/**
 * Formats a duration in a readable unit.
 *
 * @param durationMs - duration in milliseconds
 * @returns a number with its unit, such as `640 ms` or `3 h`
 */
export const formatDuration = (durationMs: number): string => {
  if (durationMs < MS_PER_SECOND) return `${Math.round(durationMs)} ms`;
  const seconds = durationMs / MS_PER_SECOND;
  if (seconds < SECONDS_PER_MINUTE) return `${Number(seconds.toFixed(1))} s`;
  const minutes = seconds / SECONDS_PER_MINUTE;
  if (minutes < MINUTES_PER_HOUR) return `${Math.round(minutes)} min`;
  const hours = minutes / MINUTES_PER_HOUR;
  return hours < HOURS_PER_DAY
    ? `${Math.round(hours)} h`
    : `${Math.round(hours / HOURS_PER_DAY)} d`;
};

/**
 * Formats a share as a percentage.
 *
 * @param share - fraction between 0 and 1, or undefined
 * @returns the percentage with one decimal place; empty if the share is undefined
 */
export const formatShare = (share: number | undefined): string =>
  share === undefined ? '' : `${(share * 100).toFixed(1)} %`;

/**
 * Formats a point in time.
 *
 * @param atMs - milliseconds since the epoch, or undefined
 * @returns ISO 8601 in UTC with seconds; empty if the time is undefined
 */
export const formatTime = (atMs: number | undefined): string =>
  atMs === undefined ? '' : new Date(atMs).toISOString().replace(/\.\d+Z$/, 'Z');

/**
 * Formats an optional number.
 *
 * @param value - the number, or undefined
 * @returns the number as text; empty if it is undefined
 */
export const formatNumber = (value: number | undefined): string =>
  value === undefined ? '' : String(value);

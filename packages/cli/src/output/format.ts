const MS_PER_SECOND = 1_000;
const SECONDS_PER_MINUTE = 60;
const MINUTES_PER_HOUR = 60;
const HOURS_PER_DAY = 24;

/**
 * Formats a duration for people.
 *
 * @param durationMs - milliseconds
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
 * @param share - between 0 and 1; undefined where there is none
 * @returns one digit after the point, or an empty text
 */
export const formatShare = (share: number | undefined): string =>
  share === undefined ? '' : `${(share * 100).toFixed(1)} %`;

/**
 * Formats a point in time.
 *
 * @param atMs - milliseconds since the epoch; undefined where there is none
 * @returns UTC to the second, or an empty text
 */
export const formatTime = (atMs: number | undefined): string =>
  atMs === undefined ? '' : new Date(atMs).toISOString().replace(/\.\d+Z$/, 'Z');

/**
 * Formats a number that may be absent.
 *
 * @param value - the number
 * @returns its digits, or an empty text
 */
export const formatNumber = (value: number | undefined): string =>
  value === undefined ? '' : String(value);

import * as z from 'zod';

const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

const DURATION = /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/;

/**
 * Parses a duration with a unit.
 *
 * @param text - a number and one of the units ms, s, m, h, d, such as `1200ms`
 * @returns the duration in milliseconds, or undefined if the text is not a duration
 */
export const parseDurationMs = (text: string): number | undefined => {
  const match = DURATION.exec(text.trim());
  if (match === null) return undefined;
  const unit = UNIT_MS[match[2] ?? ''];
  return unit === undefined ? undefined : Number(match[1]) * unit;
};

/** Schema of a duration in an INI text; parses to milliseconds. */
export const durationSchema = z.string().transform((text, context) => {
  const value = parseDurationMs(text);
  if (value !== undefined) return value;
  context.addIssue(`'${text}' is not a duration; write a number with one of ms, s, m, h, d`);
  return z.NEVER;
});

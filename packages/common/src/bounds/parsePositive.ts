/**
 * Parses a number of a header that enters arithmetic: sums of numbers near the largest one are infinite, and the difference
 * of two of those is none.
 *
 * @param text - value of the header
 * @param max - largest value; larger ones are taken as this one
 * @returns the number; undefined if it is missing, not finite or not above 0
 */
export const parsePositive = (text: string | undefined, max: number): number | undefined => {
  const value = Number(text);
  return text !== undefined && Number.isFinite(value) && value > 0
    ? Math.min(value, max)
    : undefined;
};

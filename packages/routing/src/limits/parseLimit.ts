import { MAX_PER_SECOND } from '@sardinegrade/common';

import { LimitHeader } from './types.js';

import type { NamedLimit } from './types.js';

/** Decimal notation without a sign or an exponent. */
const DECIMAL = /^\d+(\.\d+)?$/;

/**
 * Parses the limit that an answer names.
 *
 * @param values - values of all limit headers of the answer
 * @returns the limit; invalid if there are several headers, or the value is no decimal number
 */
export const parseLimit = (values: readonly string[]): NamedLimit => {
  const [first, ...others] = values;
  if (first === undefined) return { header: LimitHeader.None };
  const perSecond = Number(first);
  if (others.length > 0 || !DECIMAL.test(first) || !Number.isFinite(perSecond)) {
    return { header: LimitHeader.Invalid, text: values.join(', ') };
  }
  return { header: LimitHeader.Valid, perSecond: Math.min(perSecond, MAX_PER_SECOND) };
};

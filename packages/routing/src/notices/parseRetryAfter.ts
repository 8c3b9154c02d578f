import { MAX_DURATION_MS } from '@sardinegrade/common';

import { NoticeHeader } from './types.js';

import type { Notice } from './types.js';

/** Decimal notation without a sign or an exponent. */
const DECIMAL = /^\d+(\.\d+)?$/;

const MS_PER_SECOND = 1_000;

/** Maximum value, in seconds: a larger one is rather a point in time than a duration. */
const MAX_SECONDS = MAX_DURATION_MS / MS_PER_SECOND;

/**
 * Parses the time for which a worker that turns a request away wants no other.
 *
 * @param values - values of all such headers of the answer
 * @returns the time, in milliseconds; invalid if there are several headers, or the value is no decimal number of seconds up
 *   to a day
 */
export const parseRetryAfter = (values: readonly string[]): Notice<number> => {
  const [first, ...others] = values;
  if (first === undefined) return { header: NoticeHeader.None };
  const text = first.trim();
  if (others.length > 0 || !DECIMAL.test(text) || Number(text) > MAX_SECONDS) {
    return { header: NoticeHeader.Invalid, text: values.join(', ') };
  }
  return { header: NoticeHeader.Valid, value: Number(text) * MS_PER_SECOND };
};

import { NoticeHeader } from './types.js';

import type { Notice } from './types.js';

const LEAVING = '1';

/**
 * Parses whether an answer states that its worker leaves.
 *
 * @param values - values of all such headers of the answer
 * @returns the notice; invalid if a value is not 1
 */
export const parseLeaving = (values: readonly string[]): Notice<true> => {
  if (values.length === 0) return { header: NoticeHeader.None };
  if (values.some((value) => value.trim() !== LEAVING)) {
    return { header: NoticeHeader.Invalid, text: values.join(', ') };
  }
  return { header: NoticeHeader.Valid, value: true };
};

import { createTwoFilesPatch } from 'diff';

import { DIFF_CONTEXT_LINES } from './constants.js';

/** A text with the name that the difference gives it. */
export interface NamedText {
  readonly name: string;
  readonly text: string;
}

/**
 * Describes how one text differs from another.
 *
 * @param before - the text that stands
 * @param after - the text that is wanted
 * @returns a unified diff; empty where the texts are equal
 */
export const describeDifference = (before: NamedText, after: NamedText): string => {
  if (before.text === after.text) return '';
  return createTwoFilesPatch(before.name, after.name, before.text, after.text, '', '', {
    context: DIFF_CONTEXT_LINES,
  });
};

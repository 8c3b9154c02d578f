import { createTwoFilesPatch } from 'diff';

import { DIFF_CONTEXT_LINES } from './constants.js';

/** A text and the name used for it in the diff. */
export interface NamedText {
  readonly name: string;
  readonly text: string;
}

/**
 * Creates a unified diff of two texts.
 *
 * @param before - current text
 * @param after - changed text
 * @returns the unified diff, or an empty string if the texts are equal
 */
export const describeDifference = (before: NamedText, after: NamedText): string => {
  if (before.text === after.text) return '';
  return createTwoFilesPatch(before.name, after.name, before.text, after.text, '', '', {
    context: DIFF_CONTEXT_LINES,
  });
};

import { hashText } from './hashText.js';

const WORDS = (
  'the bit was regrind to gauge and its carbide inserts show even wear on each cone ' +
  'seal bearing thread shank checked logged ready for rig queue order booked today'
).split(' ');

const LENGTH_PATTERN = /\btokens=(\d+)\b/;
const MIN_ANSWER_TOKENS = 16;
const MARKER_INTERVAL_TOKENS = 8;
const ANSWER_LENGTH_RANGE_TOKENS = 112;

/** An answer that depends only on the request's prompt and token limit. */
export interface Answer {
  readonly length: number;
  /** Whether the request's token limit shortened the answer. */
  readonly isTruncated: boolean;
  readonly getToken: (index: number) => string;
}

const computeAnswerLength = (prompt: string, hash: number): number => {
  const requestedLength = LENGTH_PATTERN.exec(prompt)?.[1];
  return requestedLength === undefined
    ? MIN_ANSWER_TOKENS + (hash % ANSWER_LENGTH_RANGE_TOKENS)
    : Number(requestedLength);
};

/**
 * Derives the answer to a prompt.
 *
 * @param prompt - the prompt's text; `tokens=N` in it sets the answer's length
 * @param maxTokens - upper limit of the answer's length, in tokens
 * @returns the answer, which is the same for the same prompt and limit
 */
export const deriveAnswer = (prompt: string, maxTokens: number): Answer => {
  const hash = hashText(prompt);
  const length = computeAnswerLength(prompt, hash);
  const marker = hash.toString(36);
  return {
    length: Math.min(length, maxTokens),
    isTruncated: length > maxTokens,
    getToken: (index) => {
      // Some tokens contain the prompt's hash, so that answers swapped between requests are detected.
      if (index % MARKER_INTERVAL_TOKENS === 0) return `${marker} `;
      return `${WORDS[(hash + index * 7) % WORDS.length] ?? ''} `;
    },
  };
};

import { hashText } from './hashText.js';

const WORDS = (
  'the bit was regrind to gauge and its carbide inserts show even wear on each cone ' +
  'seal bearing thread shank checked logged ready for rig queue order booked today'
).split(' ');

const LENGTH_REQUEST = /\btokens=(\d+)\b/;
const SHORTEST_TOKENS = 16;
const MARK_INTERVAL_TOKENS = 8;
const LENGTH_SPREAD_TOKENS = 112;

/** An answer whose text and length depend on the request's body alone. */
export interface Answer {
  readonly length: number;
  /** Whether `max_tokens` cut the answer. */
  readonly isCut: boolean;
  readonly getToken: (number: number) => string;
}

const measureAnswer = (prompt: string, hash: number): number => {
  const asked = LENGTH_REQUEST.exec(prompt)?.[1];
  return asked === undefined ? SHORTEST_TOKENS + (hash % LENGTH_SPREAD_TOKENS) : Number(asked);
};

/**
 * Derives the answer to a prompt.
 *
 * @param prompt - the prompt's text; `tokens=N` in it sets the answer's length
 * @param maxTokens - the longest answer allowed
 * @returns the answer, the same for the same prompt
 */
export const deriveAnswer = (prompt: string, maxTokens: number): Answer => {
  const hash = hashText(prompt);
  const length = measureAnswer(prompt, hash);
  const mark = hash.toString(36);
  return {
    length: Math.min(length, maxTokens),
    isCut: length > maxTokens,
    getToken: (number) => {
      // Some tokens name the prompt, so that crossed answers never look alike.
      if (number % MARK_INTERVAL_TOKENS === 0) return `${mark} `;
      return `${WORDS[(hash + number * 7) % WORDS.length] ?? ''} `;
    },
  };
};

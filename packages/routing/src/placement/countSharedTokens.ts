import type { PromptShape } from './types.js';

/**
 * Counts the prompt tokens that other requests may share: all parts except the last, which is unique to the request.
 *
 * @param prompt - the request's prompt
 * @returns the number of tokens
 */
export const countSharedTokens = (prompt: PromptShape): number =>
  prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);

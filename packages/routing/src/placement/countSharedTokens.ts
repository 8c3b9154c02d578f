import type { PromptShape } from './types.js';

/**
 * Counts the tokens of a prompt that other prompts may share: all parts but the last, which is its own.
 *
 * @param prompt - the prompt
 * @returns tokens
 */
export const countSharedTokens = (prompt: PromptShape): number =>
  prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);

import { hashToId, normalizeId, toBranded } from '@sardinegrade/common';

import type { PartId, PromptPart } from './types.js';

/** Maximum length of the id of a part, in characters. */
const MAX_ID_CHARACTERS = 64;

/** Number of leading parts that are kept one by one, and of groups of each size that follow them. */
const SINGLE_PARTS = 32;
const GROUPS_PER_SIZE = 8;

const joinParts = (parts: readonly PromptPart[]): PromptPart => ({
  id: toBranded<PartId>(hashToId(parts.map(({ id }) => id).join(','))),
  tokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
});

/**
 * Bounds the number of parts of a prompt, and the length of their ids. The parts beyond the first ones are joined into groups
 * of 2, then 4, 8 and so on, which depend on their position only: prompts that share leading parts share the groups
 * of these. The last part stays by itself, since it belongs to its request only.
 *
 * @param parts - parts of the prompt, in order
 * @returns at most some hundred parts with as many tokens in all
 */
export const normalizeParts = (parts: readonly PromptPart[]): readonly PromptPart[] => {
  const bounded = parts.map(({ id, tokens }) => ({
    id: normalizeId(id, MAX_ID_CHARACTERS),
    tokens,
  }));
  const last = bounded.at(-1);
  if (last === undefined || bounded.length <= SINGLE_PARTS) return bounded;
  const shared = bounded.slice(0, -1);
  const merged = shared.slice(0, SINGLE_PARTS);
  let start = SINGLE_PARTS;
  for (let size = 2; start < shared.length; size *= 2) {
    for (let group = 0; group < GROUPS_PER_SIZE && start < shared.length; group += 1) {
      merged.push(joinParts(shared.slice(start, start + size)));
      start += size;
    }
  }
  return [...merged, last];
};

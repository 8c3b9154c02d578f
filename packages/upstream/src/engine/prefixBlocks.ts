/** Assumed number of characters per token, for prompts whose token count is not known. */
export const CHARACTERS_PER_TOKEN = 4;

const TOKENS_PER_BLOCK = 64;
const CHARACTERS_PER_BLOCK = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
const BLOCKS_LIMIT = 32;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes the complete blocks at the start of a prompt as engines do: FNV-1a over all text up to each block's end.
 *
 * @param prompt - the prompt's text
 * @returns one 32-bit hash per complete block, shortest prefix first, at most 32
 */
export const hashPrefixBlocks = (prompt: string): readonly number[] => {
  const blocks: number[] = [];
  let hash = FNV_OFFSET;
  const end = Math.min(prompt.length, CHARACTERS_PER_BLOCK * BLOCKS_LIMIT);
  for (let index = 0; index < end; index += 1) {
    hash = Math.imul(hash ^ prompt.charCodeAt(index), FNV_PRIME) >>> 0;
    if ((index + 1) % CHARACTERS_PER_BLOCK === 0) blocks.push(hash);
  }
  return blocks;
};

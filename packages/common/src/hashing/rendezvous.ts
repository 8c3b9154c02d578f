const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/**
 * Hashes a text to 32 bits: FNV-1a with MurmurHash3's final mix, so that similar texts spread well.
 *
 * @param text - any text
 * @returns an unsigned 32-bit number
 */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FIRST);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_SECOND);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/**
 * Orders candidates for a key by rendezvous hashing: all who know the same candidates agree on the order,
 * and removing one leaves the order of the others as it was.
 *
 * @param key - what is to be placed
 * @param candidates - unique names
 * @returns the candidates, the first choice first
 */
export const rankByRendezvous = <Name extends string>(
  key: string,
  candidates: readonly Name[],
): readonly Name[] =>
  candidates
    .map((name) => ({ name, score: hashText(`${key}\n${name}`) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);

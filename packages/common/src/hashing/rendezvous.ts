const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
/** Multipliers of the finalizer of MurmurHash3 (fmix32). */
const MURMUR_MULTIPLIER_1 = 0x85ebca6b;
const MURMUR_MULTIPLIER_2 = 0xc2b2ae35;

/**
 * Hashes a text to 32 bits: FNV-1a followed by MurmurHash3's finalizer, which spreads similar texts evenly.
 *
 * @param text - the text; its UTF-16 code units are hashed
 * @returns an unsigned 32-bit number
 */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), MURMUR_MULTIPLIER_1);
  hash = Math.imul(hash ^ (hash >>> 13), MURMUR_MULTIPLIER_2);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/**
 * Ranks candidates for a key by rendezvous hashing. Every process with the same candidates computes the same order,
 * and removing a candidate does not change the order of the others.
 *
 * @param key - name of the item to place
 * @param candidates - names to rank, without duplicates
 * @returns the candidates, best match first
 */
export const rankByRendezvous = <Name extends string>(
  key: string,
  candidates: readonly Name[],
): readonly Name[] =>
  candidates
    .map((name) => ({ name, score: hashText(`${key}\n${name}`) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);

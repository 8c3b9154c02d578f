const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes a text with FNV-1a over its UTF-16 code units.
 *
 * @param text - any text
 * @returns an unsigned 32-bit hash
 */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
};

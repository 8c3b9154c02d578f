import { createHash } from 'node:crypto';

const DIGEST_CHARACTERS = 32;

/** V8 copies shorter parts of a text; longer ones keep all of the text. */
const MAX_COPIED_CHARACTERS = 12;

/**
 * Hashes a text to an id of 128 bits.
 *
 * @param text - the text
 * @returns 32 hexadecimal digits
 */
export const hashToId = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, DIGEST_CHARACTERS);

/**
 * Bounds the memory of an id that a client has sent, for tables that outlive its request. An id that was cut out of a header
 * no longer keeps the header, and a long one is replaced by its hash.
 *
 * @param id - the id
 * @param maxCharacters - length up to which the id is kept, at least 32
 * @returns the same for equal ids, at most `maxCharacters` long
 */
export const normalizeId = <Id extends string>(id: Id, maxCharacters: number): Id => {
  if (id.length > maxCharacters) return hashToId(id) as Id;
  if (id.length <= MAX_COPIED_CHARACTERS) return id;
  return Buffer.from(id).toString() as Id;
};

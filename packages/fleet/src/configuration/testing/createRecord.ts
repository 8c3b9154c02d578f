import type { ConfigurationRecord } from '../../types.js';

/**
 * Creates a record for tests that don't read its text.
 *
 * @param generation - generation number
 * @returns the record
 */
export const createRecord = (generation: number): ConfigurationRecord => ({
  generation,
  text: '',
  textGeneration: generation,
  drains: [],
  author: 'ann',
  changeId: `c${generation}`,
  atMs: 0,
});

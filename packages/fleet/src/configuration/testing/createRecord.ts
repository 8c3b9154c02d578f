import type { ConfigurationRecord } from '../../types.js';

/**
 * Makes a generation for tests that do not look at its text.
 *
 * @param generation - its number
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

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { RandomSource } from './types.js';

/**
 * Creates a seeded source of random numbers.
 *
 * @param seed - any whole number
 * @returns a function that returns numbers of at least 0 and below 1; the same seed gives the same sequence
 */
export const createRandomSource = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** 2^32 divided by the golden ratio; gives neighbouring seeds very different generator states. */
const SEED_FACTOR = 0x9e3779b1;
const WARM_UP_COUNT = 20;

/** Random number generator that returns numbers in [0, 1). */
export type Random = () => number;

/**
 * Creates a random number generator from a seed.
 *
 * @param seed - any integer
 * @returns a generator, which returns the same sequence for the same seed
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(Math.imul(seed, SEED_FACTOR));
  // Skips the first numbers, which are similar for neighbouring seeds.
  for (let count = 0; count < WARM_UP_COUNT; count += 1) generator.next();
  return () => uniformFloat64(generator);
};

/**
 * Draws a waiting time from an exponential distribution.
 *
 * @param random - random number generator
 * @param ratePerMs - mean rate of events per millisecond
 * @returns the waiting time in milliseconds
 */
export const generateExponential = (random: Random, ratePerMs: number): number =>
  -Math.log(1 - random()) / ratePerMs;

/**
 * Draws a number from the standard normal distribution with the Box-Muller transform.
 *
 * @param random - random number generator
 * @returns the drawn number
 */
export const generateNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Spreads neighbouring seeds: 2^32 divided by the golden ratio. */
const SEED_FACTOR = 0x9e3779b1;
const WARM_UP_COUNT = 20;

/** A source of chance: numbers from 0 up to, but not including, 1. */
export type Random = () => number;

/**
 * Makes a source of chance from a seed.
 *
 * @param seed - any whole number
 * @returns the source, the same for the same seed
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(Math.imul(seed, SEED_FACTOR));
  // The first numbers after neighbouring seeds are alike.
  for (let count = 0; count < WARM_UP_COUNT; count += 1) generator.next();
  return () => uniformFloat64(generator);
};

/**
 * Takes a wait from an exponential distribution.
 *
 * @param random - source of chance
 * @param ratePerMs - the mean rate
 * @returns the wait
 */
export const takeExponential = (random: Random, ratePerMs: number): number =>
  -Math.log(1 - random()) / ratePerMs;

/**
 * Takes a number from the standard normal distribution.
 *
 * @param random - source of chance
 * @returns the number
 */
export const takeNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

import type { BenchTarget } from './types.js';

/**
 * Creates a target with a lower bound.
 *
 * @param name - the target's name in the results
 * @param figure - the measured value
 * @param minimum - the smallest value that meets the target
 * @returns the target and whether the figure meets it
 */
export const requireAtLeast = (name: string, figure: number, minimum: number): BenchTarget => ({
  name,
  bound: `>= ${minimum}`,
  figure,
  met: figure >= minimum,
});

/**
 * Creates a target with an upper bound.
 *
 * @param name - the target's name in the results
 * @param figure - the measured value
 * @param maximum - the largest value that meets the target
 * @returns the target and whether the figure meets it
 */
export const requireAtMost = (name: string, figure: number, maximum: number): BenchTarget => ({
  name,
  bound: `<= ${maximum}`,
  figure,
  met: figure <= maximum,
});

import type { BenchTarget } from './types.js';

/**
 * Compares a figure with the least that it may be.
 *
 * @param name - the target's name
 * @param figure - what was measured
 * @param minimum - the bound
 * @returns the target, met or not
 */
export const requireAtLeast = (name: string, figure: number, minimum: number): BenchTarget => ({
  name,
  bound: `>= ${minimum}`,
  figure,
  met: figure >= minimum,
});

/**
 * Compares a figure with the most that it may be.
 *
 * @param name - the target's name
 * @param figure - what was measured
 * @param maximum - the bound
 * @returns the target, met or not
 */
export const requireAtMost = (name: string, figure: number, maximum: number): BenchTarget => ({
  name,
  bound: `<= ${maximum}`,
  figure,
  met: figure <= maximum,
});

import type { Violation } from './SoakLedger.js';

/** Time in which workers said that they were brittle. */
export interface BrittlePeriod {
  /** Number of workers at its begin. */
  readonly workers: number;
  /** Rejections a second that each of them bears. */
  readonly perSecond: number;
  /** Workers that fell over since they had rejected more. */
  readonly falls: number;
}

/** Workers that may fall in one such time: a fixed number, plus a share of the workers. */
const FALL_SLACK = 2;
const FALL_SHARE = 1 / 10;

const describePeriod = ({ workers, perSecond, falls }: BrittlePeriod): string =>
  `${workers} workers said that they bear ${perSecond} rejections a second: ${falls} falls`;

/**
 * Describes how often brittle workers fell over.
 *
 * @param periods - when workers were brittle
 * @returns one line for each time
 */
export const describeBrittleness = (periods: readonly BrittlePeriod[]): readonly string[] =>
  periods.map(describePeriod);

/**
 * Checks that VMs keep brittle workers from falling over.
 *
 * @param periods - when workers were brittle
 * @returns one violation for each time in which too many fell
 */
export const checkBrittleness = (periods: readonly BrittlePeriod[]): readonly Violation[] =>
  periods
    .filter(({ workers, falls }) => falls > FALL_SLACK + FALL_SHARE * workers)
    .map((period) => ({
      rule: 'brittle workers',
      requestId: '-',
      detail: describePeriod(period),
    }));

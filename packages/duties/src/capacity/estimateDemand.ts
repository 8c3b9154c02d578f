import type { DemandEstimate, EngineDemand } from './types.js';

/** Demand at one moment. */
export interface DemandSample extends EngineDemand {
  readonly atMs: number;
}

/** Time for which a peak counts, in milliseconds: longer than the longest known period of load, 17 s. */
const PEAK_HOLD_MS = 20_000;

/** Length of the means of which the largest is the peak: a request of average length takes some seconds. */
const MEAN_MS = 1_000;

/** Time that samples have to cover until workers may be given up: the time of a peak less a second of late ticks. */
export const MIN_COVERED_MS = 19_000;

/** Longest time between two samples: after a longer one, the demand of the time between is not known. */
const MAX_GAP_MS = 2_000;

const NO_DEMAND: EngineDemand = { requests: 0, busyEngines: 0, pendingTokens: 0 };

const mergeDemands = (
  first: EngineDemand,
  second: EngineDemand,
  mergeValues: (first: number, second: number) => number,
): EngineDemand => ({
  requests: mergeValues(first.requests, second.requests),
  busyEngines: mergeValues(first.busyEngines, second.busyEngines),
  pendingTokens: mergeValues(first.pendingTokens, second.pendingTokens),
});

const computeMean = (samples: readonly EngineDemand[]): EngineDemand => {
  const sum = samples.reduce(
    (total, sample) => mergeDemands(total, sample, (first, second) => first + second),
    NO_DEMAND,
  );
  return mergeDemands(sum, sum, (total) => total / Math.max(1, samples.length));
};

/**
 * Adds a sample to the samples of the last seconds.
 *
 * @param samples - earlier samples, oldest first
 * @param sample - the newest sample
 * @returns the samples within the time for which a peak counts; only the new one after a gap
 */
export const addDemandSample = (
  samples: readonly DemandSample[],
  sample: DemandSample,
): readonly DemandSample[] => {
  const last = samples.at(-1);
  if (last === undefined || sample.atMs - last.atMs > MAX_GAP_MS) return [sample];
  return [...samples.filter(({ atMs }) => sample.atMs - atMs < PEAK_HOLD_MS), sample];
};

/**
 * Estimates the demand: the largest mean of one second, and the mean over all samples.
 *
 * Load pattern: waves with periods of 11 and 17 s. Workers that were given up in a trough would be missing at the next
 * crest, because new ones need seconds to boot; so the crest of the last wave counts until the next one.
 *
 * @param samples - samples of the last seconds, oldest first
 * @param nowMs - current time, in milliseconds
 * @returns the estimate; without samples, no demand
 */
export const estimateDemand = (samples: readonly DemandSample[], nowMs: number): DemandEstimate => {
  const seconds = new Map<number, DemandSample[]>();
  for (const sample of samples) {
    const second = Math.floor((nowMs - sample.atMs) / MEAN_MS);
    seconds.set(second, [...(seconds.get(second) ?? []), sample]);
  }
  const peak = [...seconds.values()]
    .map(computeMean)
    .reduce((largest, mean) => mergeDemands(largest, mean, Math.max), NO_DEMAND);
  return {
    peak,
    mean: computeMean(samples),
    coveredMs: samples[0] === undefined ? 0 : nowMs - samples[0].atMs,
  };
};

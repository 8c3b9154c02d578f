/** An exponentially weighted moving average. */
export interface Average {
  value: number | undefined;
  samples: number;
  updatedAtMs: number;
}

/**
 * Creates an average without samples.
 *
 * @returns the average, whose value is undefined until the first sample
 */
export const createAverage = (): Average => ({ value: undefined, samples: 0, updatedAtMs: 0 });

/**
 * Adds a sample to an average. The first samples are weighted as in an arithmetic mean.
 *
 * @param average - the average, modified in place
 * @param sample - the sample
 * @param nowMs - current time, in milliseconds
 * @param weight - weight of a sample between 0 and 1; the first 1 / weight samples have a larger one
 */
export const updateAverage = (
  average: Average,
  sample: number,
  nowMs: number,
  weight: number,
): void => {
  average.samples += 1;
  average.updatedAtMs = nowMs;
  const effectiveWeight = Math.max(weight, 1 / average.samples);
  average.value =
    average.value === undefined
      ? sample
      : average.value + effectiveWeight * (sample - average.value);
};

/**
 * Removes all samples from an average.
 *
 * @param average - the average, modified in place
 */
export const resetAverage = (average: Average): void => {
  average.value = undefined;
  average.samples = 0;
};

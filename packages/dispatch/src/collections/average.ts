/** An exponentially weighted mean. */
export interface Average {
  value: number | undefined;
  samples: number;
  updatedAtMs: number;
}

/**
 * Creates a mean without samples.
 *
 * @returns the mean
 */
export const createAverage = (): Average => ({ value: undefined, samples: 0, updatedAtMs: 0 });

/**
 * Adds a sample to a mean; the first samples weigh as in a plain mean.
 *
 * @param average - the mean, changed in place
 * @param sample - the new value
 * @param nowMs - the present
 * @param weight - weight of a sample once there are enough of them
 */
export const updateAverage = (
  average: Average,
  sample: number,
  nowMs: number,
  weight: number,
): void => {
  average.samples += 1;
  average.updatedAtMs = nowMs;
  const share = Math.max(weight, 1 / average.samples);
  average.value =
    average.value === undefined ? sample : average.value + share * (sample - average.value);
};

/**
 * Forgets all samples.
 *
 * @param average - the mean, changed in place
 */
export const resetAverage = (average: Average): void => {
  average.value = undefined;
  average.samples = 0;
};

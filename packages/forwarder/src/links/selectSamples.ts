import type { RandomSource } from '@sardinegrade/dispatch';
import type { Worker } from '@sardinegrade/routing';

/** Number of workers by which links are checked, if there are as many: some of them may have crashed. */
const MIN_SAMPLES = 6;

/**
 * Selects the workers by which a VM checks its links: one of each data centre, and several in all. A cut of one data centre
 * or a crash of some workers is then no loss of all links.
 *
 * @param workers - all registered workers
 * @param random - selects among the workers of a data centre
 * @returns the samples
 */
export const selectSamples = (
  workers: readonly Worker[],
  random: RandomSource,
): readonly Worker[] => {
  const shuffled = workers
    .map((worker) => ({ worker, rank: random() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ worker }) => worker);
  const byDataCentre = new Map(shuffled.map((worker) => [worker.dataCentre, worker]));
  const samples = new Set(byDataCentre.values());
  for (const worker of shuffled) {
    if (samples.size >= MIN_SAMPLES) break;
    samples.add(worker);
  }
  return [...samples];
};

import { PartnerChoice } from '@sardinegrade/fleet';

import { createRandom } from '../../../load/index.js';
import { VirtualFleet } from './VirtualFleet.js';

/** The time that a generation takes from one daemon to all others. */
export interface SpreadResult {
  readonly daemons: number;
  readonly changes: number;
  readonly meanMs: number;
  readonly maxMs: number;
}

const WARM_UP_MS = 60_000;
const STEP_MS = 50;
const LIMIT_MS = 120_000;

const hasReachedAll = (fleet: VirtualFleet, generation: number): boolean =>
  fleet.listRunning().every((vm) => (fleet.getState(vm)?.generation ?? 0) >= generation);

/**
 * Measures in virtual time how a generation spreads through pings when only one daemon of the fleet
 * received it from the platform.
 *
 * @param dataCentres - the number of data centres
 * @param daemons - the number of daemons in each data centre
 * @param changes - the number of generations to measure
 * @param seed - the seed of all random choices
 * @returns mean and maximum of the time until the last daemon has a generation
 */
export const measureSpread = (
  dataCentres: number,
  daemons: number,
  changes: number,
  seed: number,
): SpreadResult => {
  const random = createRandom(seed);
  const fleet = new VirtualFleet({
    dataCentres: Array.from({ length: dataCentres }, (_, index) => ({
      name: `z${index}`,
      daemons,
    })),
    partnerChoice: PartnerChoice.NearestAndRandom,
    random,
    lossRate: 0.01,
    meanPauseIntervalMs: 60_000,
    maxPauseMs: 2_000,
  });
  fleet.queue.advance(WARM_UP_MS);
  const times: number[] = [];
  for (let generation = 1; generation <= changes; generation += 1) {
    const running = fleet.listRunning();
    const startedAtMs = fleet.queue.nowMs;
    fleet.setGeneration(running[Math.floor(random() * running.length)] ?? '', generation);
    while (!hasReachedAll(fleet, generation) && fleet.queue.nowMs < startedAtMs + LIMIT_MS) {
      fleet.queue.advance(fleet.queue.nowMs + STEP_MS);
    }
    times.push(hasReachedAll(fleet, generation) ? fleet.queue.nowMs - startedAtMs : Infinity);
  }
  return {
    daemons: dataCentres * daemons,
    changes,
    meanMs: times.reduce((sum, time) => sum + time, 0) / times.length,
    maxMs: Math.max(...times),
  };
};

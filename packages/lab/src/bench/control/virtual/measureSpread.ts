import { PartnerChoice } from '@sardinegrade/fleet';

import { createRandom } from '../../../load/index.js';
import { VirtualFleet } from './VirtualFleet.js';

/** How long a generation takes from one daemon of each data centre to all. */
export interface SpreadResult {
  readonly daemons: number;
  readonly changes: number;
  readonly meanMs: number;
  readonly maxMs: number;
}

const WARM_UP_MS = 60_000;
const STEP_MS = 50;
const LIMIT_MS = 120_000;

const isEverywhere = (fleet: VirtualFleet, generation: number): boolean =>
  fleet.listRunning().every((vm) => (fleet.getState(vm)?.generation ?? 0) >= generation);

/**
 * Measures on virtual time how a generation spreads by the pings alone, when only one daemon of the
 * whole fleet has heard of it from the platform.
 *
 * @param dataCentres - how many data centres
 * @param daemons - daemons of each
 * @param changes - how many generations to measure
 * @param seed - seed of all chances
 * @returns the times until the last daemon has a generation
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
    lossShare: 0.01,
    pauseEveryMs: 60_000,
    pauseLimitMs: 2_000,
  });
  fleet.queue.advance(WARM_UP_MS);
  const times: number[] = [];
  for (let generation = 1; generation <= changes; generation += 1) {
    const running = fleet.listRunning();
    const startedAtMs = fleet.queue.nowMs;
    fleet.setGeneration(running[Math.floor(random() * running.length)] ?? '', generation);
    while (!isEverywhere(fleet, generation) && fleet.queue.nowMs < startedAtMs + LIMIT_MS) {
      fleet.queue.advance(fleet.queue.nowMs + STEP_MS);
    }
    times.push(isEverywhere(fleet, generation) ? fleet.queue.nowMs - startedAtMs : Infinity);
  }
  return {
    daemons: dataCentres * daemons,
    changes,
    meanMs: times.reduce((sum, time) => sum + time, 0) / times.length,
    maxMs: Math.max(...times),
  };
};

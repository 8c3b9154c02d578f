import { MemberState, PartnerChoice } from '@sardinegrade/fleet';

import { createRandom } from '../../../load/index.js';
import { VirtualFleet } from './VirtualFleet.js';

/** How one way of choosing partners did. */
export interface PartnerResult {
  readonly partnerChoice: PartnerChoice;
  readonly daemons: number;
  /** From a crash until the first daemon suspects it. */
  readonly suspectedMs: number;
  /** From a crash until every daemon holds it for dead: mean and longest. */
  readonly knownMeanMs: number;
  readonly knownMaxMs: number;
  /** Suspicions of daemons that were running, per daemon and hour, and deaths of such. */
  readonly falseSuspicionsPerHour: number;
  readonly falseDeaths: number;
  readonly bytesPerSecond: number;
  readonly callsPerSecond: number;
  readonly connectsPerSecond: number;
}

const WARM_UP_MS = 30_000;
const BETWEEN_CRASHES_MS = 40_000;
const CRASHES = 6;
const LOSS_SHARE = 0.01;
const PAUSE_EVERY_MS = 60_000;
const PAUSE_LIMIT_MS = 2_000;
const MS_PER_HOUR = 3_600_000;

const getMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Lets daemons crash one after another, and notes when each crash became known. */
const runCrashes = (fleet: VirtualFleet, random: () => number) => {
  const suspected: number[] = [];
  const known: number[] = [];
  const crashed = new Set<string>();
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const running = fleet.listRunning();
    const victim = running[1 + Math.floor(random() * (running.length - 1))] ?? '';
    fleet.abortDaemon(victim);
    crashed.add(victim);
    const atMs = fleet.queue.nowMs;
    fleet.queue.advance(atMs + BETWEEN_CRASHES_MS);
    const after = fleet.sightings.filter((seen) => seen.about === victim && seen.atMs >= atMs);
    const dead = after.filter((seen) => seen.state === MemberState.Dead);
    const informed = new Map(dead.map((seen) => [seen.by, seen.atMs - atMs]));
    suspected.push((after[0]?.atMs ?? Infinity) - atMs);
    const isComplete = fleet.listRunning().every((vm) => informed.has(vm));
    known.push(isComplete ? Math.max(...informed.values()) : Infinity);
  }
  return { suspected, known, crashed };
};

/**
 * Measures one way of choosing partners on virtual time, with calls that fail and daemons that pause.
 *
 * @param partnerChoice - the way
 * @param daemons - size of the data centre
 * @param seed - seed of all chances
 * @returns what was measured
 */
export const measurePartnerChoice = (
  partnerChoice: PartnerChoice,
  daemons: number,
  seed: number,
): PartnerResult => {
  const random = createRandom(seed);
  const fleet = new VirtualFleet({
    dataCentres: [{ name: 'a', daemons }],
    partnerChoice,
    random,
    lossShare: LOSS_SHARE,
    pauseEveryMs: PAUSE_EVERY_MS,
    pauseLimitMs: PAUSE_LIMIT_MS,
  });
  fleet.queue.advance(WARM_UP_MS);
  const before = fleet.getCounts();
  const { suspected, known, crashed } = runCrashes(fleet, random);
  const after = fleet.getCounts();
  const spentMs = fleet.queue.nowMs - WARM_UP_MS;
  const seconds = (daemons * spentMs) / 1_000;
  const wrong = fleet.sightings.filter(
    (seen) => seen.atMs >= WARM_UP_MS && !crashed.has(seen.about),
  );
  const countWrong = (state: MemberState): number =>
    new Set(
      wrong
        .filter((seen) => seen.state === state)
        .map((seen) => `${seen.about} ${Math.floor(seen.atMs / 5_000)}`),
    ).size;
  return {
    partnerChoice,
    daemons,
    suspectedMs: getMean(suspected),
    knownMeanMs: getMean(known),
    knownMaxMs: Math.max(...known),
    falseSuspicionsPerHour: (countWrong(MemberState.Suspect) * MS_PER_HOUR) / (daemons * spentMs),
    falseDeaths: countWrong(MemberState.Dead),
    bytesPerSecond: (after.messageBytes - before.messageBytes) / seconds,
    callsPerSecond: (after.calls - before.calls) / seconds,
    connectsPerSecond: (after.connects - before.connects) / seconds,
  };
};

/**
 * Measures every way of choosing partners.
 *
 * @param sizes - sizes of a data centre
 * @param seed - seed of all chances
 * @returns a result for each way and size
 */
export const comparePartners = (sizes: readonly number[], seed: number): readonly PartnerResult[] =>
  sizes.flatMap((daemons) =>
    Object.values(PartnerChoice).map((choice) => measurePartnerChoice(choice, daemons, seed)),
  );

import { MemberState, PartnerChoice } from '@sardinegrade/fleet';

import { createRandom } from '../../../load/index.js';
import { VirtualFleet } from './VirtualFleet.js';

/** The measurements of one partner choice at one fleet size. */
export interface PartnerResult {
  readonly partnerChoice: PartnerChoice;
  readonly daemons: number;
  /** Mean time from a crash until the first daemon suspects it. */
  readonly suspectedMs: number;
  /** Time from a crash until every daemon has recorded the daemon as dead: mean and maximum. */
  readonly knownMeanMs: number;
  readonly knownMaxMs: number;
  /** Suspicions of daemons that were running, per daemon and hour. */
  readonly falseSuspicionsPerHour: number;
  /** Number of running daemons that were declared dead. */
  readonly falseDeaths: number;
  readonly bytesPerSecond: number;
  readonly callsPerSecond: number;
  readonly connectsPerSecond: number;
}

const WARM_UP_MS = 30_000;
const CRASH_INTERVAL_MS = 40_000;
const CRASHES = 6;
const LOSS_RATE = 0.01;
const MEAN_PAUSE_INTERVAL_MS = 60_000;
const MAX_PAUSE_MS = 2_000;
const MS_PER_HOUR = 3_600_000;

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Crashes daemons one after another, and measures when each crash was suspected and known to all. */
const runCrashes = (fleet: VirtualFleet, random: () => number) => {
  const suspicionTimesMs: number[] = [];
  const detectionTimesMs: number[] = [];
  const crashed = new Set<string>();
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const running = fleet.listRunning();
    const crashedDaemon = running[1 + Math.floor(random() * (running.length - 1))] ?? '';
    fleet.abortDaemon(crashedDaemon);
    crashed.add(crashedDaemon);
    const atMs = fleet.queue.nowMs;
    fleet.queue.advance(atMs + CRASH_INTERVAL_MS);
    const after = fleet.observations.filter(
      (observation) => observation.subject === crashedDaemon && observation.atMs >= atMs,
    );
    const deathObservations = after.filter((observation) => observation.state === MemberState.Dead);
    const detectedAfterMs = new Map(
      deathObservations.map((observation) => [observation.observer, observation.atMs - atMs]),
    );
    suspicionTimesMs.push((after[0]?.atMs ?? Infinity) - atMs);
    const isComplete = fleet.listRunning().every((vm) => detectedAfterMs.has(vm));
    detectionTimesMs.push(isComplete ? Math.max(...detectedAfterMs.values()) : Infinity);
  }
  return { suspicionTimesMs, detectionTimesMs, crashed };
};

/**
 * Measures one partner choice in virtual time, with calls that fail and daemons that pause.
 *
 * @param partnerChoice - how daemons choose gossip partners
 * @param daemons - the number of daemons, all in one data centre
 * @param seed - the seed of all random choices
 * @returns detection times, false detections and traffic
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
    lossRate: LOSS_RATE,
    meanPauseIntervalMs: MEAN_PAUSE_INTERVAL_MS,
    maxPauseMs: MAX_PAUSE_MS,
  });
  fleet.queue.advance(WARM_UP_MS);
  const before = fleet.getCounts();
  const { suspicionTimesMs, detectionTimesMs, crashed } = runCrashes(fleet, random);
  const after = fleet.getCounts();
  const elapsedMs = fleet.queue.nowMs - WARM_UP_MS;
  const seconds = (daemons * elapsedMs) / 1_000;
  const falseObservations = fleet.observations.filter(
    (observation) => observation.atMs >= WARM_UP_MS && !crashed.has(observation.subject),
  );
  const countFalse = (state: MemberState): number =>
    new Set(
      falseObservations
        .filter((observation) => observation.state === state)
        .map((observation) => `${observation.subject} ${Math.floor(observation.atMs / 5_000)}`),
    ).size;
  return {
    partnerChoice,
    daemons,
    suspectedMs: computeMean(suspicionTimesMs),
    knownMeanMs: computeMean(detectionTimesMs),
    knownMaxMs: Math.max(...detectionTimesMs),
    falseSuspicionsPerHour: (countFalse(MemberState.Suspect) * MS_PER_HOUR) / (daemons * elapsedMs),
    falseDeaths: countFalse(MemberState.Dead),
    bytesPerSecond: (after.messageBytes - before.messageBytes) / seconds,
    callsPerSecond: (after.calls - before.calls) / seconds,
    connectsPerSecond: (after.connects - before.connects) / seconds,
  };
};

/**
 * Measures every partner choice at several fleet sizes.
 *
 * @param sizes - numbers of daemons in the data centre
 * @param seed - the seed of all random choices
 * @returns a result for each size and choice
 */
export const comparePartners = (sizes: readonly number[], seed: number): readonly PartnerResult[] =>
  sizes.flatMap((daemons) =>
    Object.values(PartnerChoice).map((choice) => measurePartnerChoice(choice, daemons, seed)),
  );

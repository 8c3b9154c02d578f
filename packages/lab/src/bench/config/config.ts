import { setTimeout as sleep } from 'node:timers/promises';

import { ConfigurationConflictError } from '@sardinegrade/fleet';

import { RealFleet, createWeightText } from '../../integration/index.js';
import { createRandom } from '../../load/index.js';
import { measureSpread } from '../control/virtual/index.js';
import { requireAtMost } from '../runner/index.js';
import { measureColdStart } from './coldStart.js';
import { NaivePoller } from './NaivePoller.js';

import type { ConfigurationRecord } from '@sardinegrade/fleet';
import type { LocalAgent } from '../../integration/index.js';
import type { Random } from '../../load/index.js';
import type { ColdStart } from './coldStart.js';
import type { SpreadResult } from '../control/virtual/index.js';
import type { Bench, BenchOptions, BenchOutcome } from '../runner/index.js';

/** Today's places: 7 VMs in 4 data centres. */
const PLACES = ['dc-a', 'dc-a', 'dc-b', 'dc-b', 'dc-c', 'dc-c', 'dc-d'];
const EDITS = 100;
const RACERS = 2;
const EDIT_GAP_MS = 300;
const LOST_ANSWERS = 0.05;
const IN_FORCE_LIMIT_MS = 5_000;
/** As often as the naive way has to poll to be within the limit with the platform's own delays. */
const POLL_INTERVAL_MS = 4_000;
const QUIET_CHANGES = 10;
const QUIET_GAP_MS = 3_000;
/** Daemons that start at once beside the ones that run. */
const COLD_DAEMONS = 24;
/** Data centres and daemons of each for the spread on virtual time; the last is the size to design for. */
const SPREAD_SIZES = [
  [4, 2],
  [5, 20],
  [5, 84],
] as const;
const SPREAD_CHANGES = 10;
const SPREAD_LIMIT_MS = 19_000;
const SETTLE_LIMIT_MS = 60_000;

/** A change that was accepted, and when its author was told so. */
interface Accepted {
  readonly generation: number;
  readonly atMs: number;
}

/** A time in which a daemon was not expected to follow. */
interface Absence {
  readonly vm: string;
  readonly fromMs: number;
  untilMs: number;
}

const getPercentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;

const countCalls = (fleet: RealFleet): number => {
  const { reads, writes } = fleet.platform.platform.getCounts();
  return reads + writes;
};

/** Runs the scenario: racing editors, a data centre that is cut off, restarts, lost answers. */
class ConfigScenario {
  readonly accepted: Accepted[] = [];
  readonly absences: Absence[] = [];
  conflicts = 0;
  failures = 0;
  private readonly fleet: RealFleet;
  private readonly editors: readonly LocalAgent[];
  private readonly random: Random;
  private edits = 0;

  constructor(fleet: RealFleet, editors: readonly LocalAgent[], random: Random) {
    this.fleet = fleet;
    this.editors = editors;
    this.random = random;
  }

  async runRaces(): Promise<void> {
    while (this.edits < EDITS) {
      const base = this.getBase();
      await Promise.all(
        this.editors.slice(0, RACERS).map((editor) => this.applyEdit(editor, base)),
      );
      await sleep(EDIT_GAP_MS * (0.5 + this.random()));
    }
  }

  /** One data centre stands still for a while, and two daemons of others are replaced. */
  async applyDisturbances(): Promise<void> {
    await sleep(2_000);
    const absences = ['vm-4', 'vm-5'].map((vm) => this.startAbsence(vm));
    for (const { vm } of absences) this.fleet.getDaemon(vm).process.sendSignal('SIGSTOP');
    await this.replace('vm-1');
    await this.replace('vm-2');
    await sleep(4_000);
    for (const absence of absences) {
      this.fleet.getDaemon(absence.vm).process.sendSignal('SIGCONT');
      absence.untilMs = Date.now();
    }
  }

  async applyEdit(
    editor: LocalAgent,
    baseGeneration: number,
  ): Promise<ConfigurationRecord | undefined> {
    this.edits += 1;
    const weight = this.edits;
    try {
      const record = await editor.agent.applyConfiguration({
        baseGeneration,
        author: 'bench',
        changeId: `edit-${weight}`,
        text: createWeightText(weight),
      });
      this.accepted.push({ generation: record.generation, atMs: Date.now() });
      return record;
    } catch (error) {
      if (error instanceof ConfigurationConflictError) this.conflicts += 1;
      else this.failures += 1;
      return undefined;
    }
  }

  getBase(): number {
    return Math.max(
      ...this.editors.map((editor) => editor.agent.getConfigurationStatus().generation),
    );
  }

  /** Lists how long each daemon that was there took to each accepted generation, or to a later one. */
  listInForceMs(): readonly number[] {
    const times: number[] = [];
    for (const vm of this.fleet.daemons.keys()) {
      const entries = this.fleet.listInForce(vm);
      for (const { generation, atMs } of this.accepted) {
        if (this.isAbsent(vm, atMs)) continue;
        const entry = entries.find((item) => item.generation >= generation);
        times.push(entry === undefined ? Infinity : Math.max(0, entry.atMs - atMs));
      }
    }
    return times.sort((left, right) => left - right);
  }

  private startAbsence(vm: string): Absence {
    const absence = { vm, fromMs: Date.now(), untilMs: Infinity };
    this.absences.push(absence);
    return absence;
  }

  /** Crashes a daemon and starts it again; what it put into force before is lost with its log. */
  private async replace(vm: string): Promise<void> {
    const absence = this.startAbsence(vm);
    // The new process has no record of what came into force before it started.
    const fromStart: Absence = { ...absence, fromMs: 0 };
    this.absences.push(fromStart);
    const former = this.fleet.getDaemon(vm);
    await former.process.abort();
    await this.fleet.startDaemon(vm, former.dataCentre, former);
    absence.untilMs = fromStart.untilMs = Date.now();
  }

  private isAbsent(vm: string, atMs: number): boolean {
    return this.absences.some(
      (absence) =>
        absence.vm === vm &&
        atMs >= absence.fromMs - IN_FORCE_LIMIT_MS &&
        atMs <= absence.untilMs + 1,
    );
  }
}

const waitEqual = async (fleet: RealFleet, scenario: ConfigScenario): Promise<boolean> => {
  const deadline = Date.now() + SETTLE_LIMIT_MS;
  const highest = Math.max(...scenario.accepted.map(({ generation }) => generation));
  while (Date.now() < deadline) {
    const isEqual = [...fleet.daemons.keys()].every((vm) => fleet.getGeneration(vm) === highest);
    if (isEqual) return true;
    await sleep(50);
  }
  return false;
};

/** Makes changes on a quiet fleet, and counts the platform's calls for each against no change. */
const measureQuiet = async (fleet: RealFleet, scenario: ConfigScenario, editor: LocalAgent) => {
  const spanMs = QUIET_CHANGES * QUIET_GAP_MS;
  const idleFrom = countCalls(fleet);
  await sleep(spanMs);
  const idleCalls = countCalls(fleet) - idleFrom;
  const busyFrom = countCalls(fleet);
  const startedAtMs = Date.now();
  for (let change = 1; change <= QUIET_CHANGES; change += 1) {
    await scenario.applyEdit(editor, scenario.getBase());
    await sleep(Math.max(0, startedAtMs + change * QUIET_GAP_MS - Date.now()));
  }
  const busyCalls = countCalls(fleet) - busyFrom;
  return {
    idleCallsPerSecond: (idleCalls * 1_000) / spanMs,
    callsPerChange: (busyCalls - idleCalls) / QUIET_CHANGES,
  };
};

/** Has as many pollers as there are daemons follow the same kind of changes. */
const measureNaive = async (
  fleet: RealFleet,
  scenario: ConfigScenario,
  editor: LocalAgent,
  random: Random,
) => {
  const before = countCalls(fleet);
  const startedAtMs = Date.now();
  const pollers = PLACES.map(() => new NaivePoller(fleet.platform.platform, POLL_INTERVAL_MS));
  for (const poller of pollers) poller.start(random() * POLL_INTERVAL_MS);
  const first = scenario.accepted.length;
  for (let change = 0; change < QUIET_CHANGES; change += 1) {
    await scenario.applyEdit(editor, scenario.getBase());
    await sleep(QUIET_GAP_MS);
  }
  await sleep(POLL_INTERVAL_MS);
  for (const poller of pollers) poller.stop();
  const seconds = (Date.now() - startedAtMs) / 1_000;
  const times = pollers.flatMap(({ sightings }) =>
    scenario.accepted.slice(first).map(({ generation, atMs }) => {
      const seen = sightings.find((sighting) => sighting.generation >= generation);
      return seen === undefined ? Infinity : Math.max(0, seen.atMs - atMs);
    }),
  );
  times.sort((left, right) => left - right);
  return {
    callsPerSecond: (countCalls(fleet) - before) / seconds,
    inForceP50Ms: getPercentile(times, 0.5),
    inForceMaxMs: times.at(-1) ?? 0,
  };
};

const runScenario = async (fleet: RealFleet, options: BenchOptions): Promise<BenchOutcome> => {
  const { seed, report } = options;
  const random = createRandom(seed);
  const editors = [await fleet.startAgent('editor-a', 'dc-a')];
  editors.push(await fleet.startAgent('editor-b', 'dc-b'));
  await Promise.all(PLACES.map((place, index) => fleet.startDaemon(`vm-${index}`, place)));
  const [editor] = editors;
  if (editor === undefined) throw new Error('no editor');
  const scenario = new ConfigScenario(fleet, editors, random);
  await scenario.applyEdit(editor, 0);
  await fleet.waitInForce(1);
  report('racing edits, a data centre cut off, restarts, lost answers');
  fleet.platform.platform.setBehaviour({ loseAnswers: LOST_ANSWERS });
  await Promise.all([scenario.runRaces(), scenario.applyDisturbances()]);
  fleet.platform.platform.setBehaviour({ loseAnswers: 0 });
  const isEqual = await waitEqual(fleet, scenario);
  const inForce = scenario.listInForceMs();
  const reverts = fleet.countReverts();
  const races = { accepted: scenario.accepted.length, conflicts: scenario.conflicts };
  report('quiet changes, and the same with a poller for each daemon');
  const quiet = await measureQuiet(fleet, scenario, editor);
  const naive = await measureNaive(fleet, scenario, editor, random);
  report(`${COLD_DAEMONS} daemons of one data centre start at once`);
  const cold = await measureColdStart(fleet, COLD_DAEMONS);
  report('spread of a generation on virtual time');
  const spreads = SPREAD_SIZES.map(([dataCentres, daemons]) =>
    measureSpread(dataCentres, daemons, SPREAD_CHANGES, seed),
  );
  return buildOutcome({
    spreads,
    cold,
    inForce,
    reverts,
    isEqual,
    races,
    quiet,
    naive,
    failures: scenario.failures,
  });
};

interface Measured {
  readonly spreads: readonly SpreadResult[];
  readonly cold: ColdStart;
  readonly inForce: readonly number[];
  readonly reverts: number;
  readonly isEqual: boolean;
  readonly races: { readonly accepted: number; readonly conflicts: number };
  readonly failures: number;
  readonly quiet: Awaited<ReturnType<typeof measureQuiet>>;
  readonly naive: Awaited<ReturnType<typeof measureNaive>>;
}

const buildOutcome = (measured: Measured): BenchOutcome => {
  const { spreads, cold, inForce, reverts, isEqual, races, failures, quiet, naive } = measured;
  const p50 = getPercentile(inForce, 0.5);
  const maximum = inForce.at(-1) ?? Infinity;
  return {
    tables: [
      {
        title: `Changes with ${PLACES.length} daemons in 4 data centres`,
        columns: ['way', 'in force p50 ms', 'in force max ms', 'idle calls/s', 'calls/change'],
        rows: [
          [
            'product',
            p50,
            maximum,
            quiet.idleCallsPerSecond.toFixed(2),
            quiet.callsPerChange.toFixed(1),
          ],
          [
            `naive, polls every ${POLL_INTERVAL_MS} ms`,
            naive.inForceP50Ms,
            naive.inForceMaxMs,
            (PLACES.length / (POLL_INTERVAL_MS / 1_000)).toFixed(2),
            '-',
          ],
        ],
      },
      {
        title: 'Racing edits',
        columns: ['accepted', 'conflicts', 'failed', 'reverts', 'equal at the end'],
        rows: [[races.accepted, races.conflicts, failures, reverts, isEqual ? 'yes' : 'no']],
      },
      {
        title: 'A data centre that starts at once',
        columns: ['daemons', 'configured after ms', 'all known after ms', 'platform calls'],
        rows: [[cold.daemons, cold.configuredMs, cold.joinedMs, cold.platformCalls]],
      },
      {
        title: 'From one daemon to all by pings alone, virtual time: 1 % of calls lost, pauses',
        columns: ['daemons', 'changes', 'mean ms', 'max ms'],
        rows: spreads.map((spread) => [
          spread.daemons,
          spread.changes,
          Math.round(spread.meanMs),
          spread.maxMs,
        ]),
      },
    ],
    targets: [
      requireAtMost('reverts', reverts, 0),
      requireAtMost('in force max ms', maximum, IN_FORCE_LIMIT_MS),
      requireAtMost('daemons that differ at the end', isEqual ? 0 : 1, 0),
      requireAtMost(
        'from one daemon to 420, ms',
        spreads.at(-1)?.maxMs ?? Infinity,
        SPREAD_LIMIT_MS,
      ),
    ],
    figures: {
      reverts,
      in_force_p50_ms: p50,
      in_force_max_ms: maximum,
      platform_calls_per_change: quiet.callsPerChange,
      platform_idle_calls_per_second: quiet.idleCallsPerSecond,
      accepted: races.accepted,
      conflicts: races.conflicts,
      failures,
      naive,
      cold,
      spreads,
    },
  };
};

/** How fast and how surely a change of the configuration comes into force. */
export const CONFIG_BENCH: Bench = {
  name: 'config',
  description: 'racing edits, a data centre cut off and restarts: reverts, time until in force',
  run: async (options) => {
    const fleet = await RealFleet.open();
    try {
      return await runScenario(fleet, options);
    } finally {
      await fleet.stop();
    }
  },
};

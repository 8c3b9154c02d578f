import { setTimeout as sleep } from 'node:timers/promises';

import { ConfigurationConflictError } from '@sardinegrade/fleet';

import { RealFleet, buildWeightConfiguration } from '../../integration/index.js';
import { createRandom } from '../../load/index.js';
import { measureSpread } from '../control/virtual/index.js';
import { requireAtMost } from '../runner/index.js';
import { measureColdStart } from './measureColdStart.js';
import { NaivePoller } from './NaivePoller.js';

import type { ConfigurationRecord } from '@sardinegrade/fleet';
import type { LocalAgent } from '../../integration/index.js';
import type { Random } from '../../load/index.js';
import type { ColdStart } from './measureColdStart.js';
import type { SpreadResult } from '../control/virtual/index.js';
import type { Bench, BenchOptions, BenchOutcome } from '../runner/index.js';

/** The data centre of each daemon: the current deployment has 7 VMs in 4 data centres. */
const DAEMON_DATA_CENTRES = ['dc-a', 'dc-a', 'dc-b', 'dc-b', 'dc-c', 'dc-c', 'dc-d'];
const EDITS = 100;
const CONCURRENT_EDITORS = 2;
const EDIT_INTERVAL_MS = 300;
const LOST_ANSWER_PROBABILITY = 0.05;
const ACTIVATION_LIMIT_MS = 5_000;
/** The polling interval that keeps naive pollers within the activation limit, platform latency included. */
const POLL_INTERVAL_MS = 4_000;
const SEQUENTIAL_CHANGES = 10;
const SEQUENTIAL_INTERVAL_MS = 3_000;
/** Daemons that start at the same time, next to the running ones. */
const COLD_START_DAEMONS = 24;
/** Data centres and daemons per data centre of the fleets in virtual time; the last is the design target. */
const SPREAD_SIZES = [
  [4, 2],
  [5, 20],
  [5, 84],
] as const;
const SPREAD_CHANGES = 10;
const SPREAD_LIMIT_MS = 19_000;
const CONVERGENCE_LIMIT_MS = 60_000;

/** A change that was accepted, and the time at which its author received the confirmation. */
interface AcceptedChange {
  readonly generation: number;
  readonly atMs: number;
}

/** A period in which a daemon was suspended or restarting, so that it isn't expected to apply changes. */
interface Downtime {
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

/** Applies concurrent edits while a data centre is unreachable and daemons restart, and measures activation. */
class ConfigScenario {
  readonly accepted: AcceptedChange[] = [];
  readonly downtimes: Downtime[] = [];
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

  async runConcurrentEdits(): Promise<void> {
    while (this.edits < EDITS) {
      const baseGeneration = this.getBaseGeneration();
      await Promise.all(
        this.editors
          .slice(0, CONCURRENT_EDITORS)
          .map((editor) => this.applyEdit(editor, baseGeneration)),
      );
      await sleep(EDIT_INTERVAL_MS * (0.5 + this.random()));
    }
  }

  /** Suspends all daemons of one data centre for a while, and replaces two daemons of other data centres. */
  async injectFaults(): Promise<void> {
    await sleep(2_000);
    const downtimes = ['vm-4', 'vm-5'].map((vm) => this.startDowntime(vm));
    for (const { vm } of downtimes) this.fleet.getDaemon(vm).process.sendSignal('SIGSTOP');
    await this.replaceDaemon('vm-1');
    await this.replaceDaemon('vm-2');
    await sleep(4_000);
    for (const downtime of downtimes) {
      this.fleet.getDaemon(downtime.vm).process.sendSignal('SIGCONT');
      downtime.untilMs = Date.now();
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
        text: buildWeightConfiguration(weight),
      });
      this.accepted.push({ generation: record.generation, atMs: Date.now() });
      return record;
    } catch (error) {
      if (error instanceof ConfigurationConflictError) this.conflicts += 1;
      else this.failures += 1;
      return undefined;
    }
  }

  getBaseGeneration(): number {
    return Math.max(
      ...this.editors.map((editor) => editor.agent.getConfigurationStatus().generation),
    );
  }

  /**
   * Lists in ascending order the time from each accepted change until each daemon activated its
   * generation or a later one. Daemons that were down at the time of the change are left out.
   */
  listActivationTimesMs(): readonly number[] {
    const times: number[] = [];
    for (const vm of this.fleet.daemons.keys()) {
      const entries = this.fleet.listActivations(vm);
      for (const { generation, atMs } of this.accepted) {
        if (this.isDown(vm, atMs)) continue;
        const activation = entries.find((item) => item.generation >= generation);
        times.push(activation === undefined ? Infinity : Math.max(0, activation.atMs - atMs));
      }
    }
    return times.sort((left, right) => left - right);
  }

  private startDowntime(vm: string): Downtime {
    const downtime = { vm, fromMs: Date.now(), untilMs: Infinity };
    this.downtimes.push(downtime);
    return downtime;
  }

  /** Crashes a daemon and starts it again; its log, which lists the generations it activated, is lost. */
  private async replaceDaemon(vm: string): Promise<void> {
    const downtime = this.startDowntime(vm);
    // The new process has no record of the generations that were activated before it started.
    const beforeStart: Downtime = { ...downtime, fromMs: 0 };
    this.downtimes.push(beforeStart);
    const previous = this.fleet.getDaemon(vm);
    await previous.process.abort();
    await this.fleet.startDaemon(vm, previous.dataCentre, previous);
    downtime.untilMs = beforeStart.untilMs = Date.now();
  }

  private isDown(vm: string, atMs: number): boolean {
    return this.downtimes.some(
      (downtime) =>
        downtime.vm === vm &&
        atMs >= downtime.fromMs - ACTIVATION_LIMIT_MS &&
        atMs <= downtime.untilMs + 1,
    );
  }
}

const waitForConvergence = async (fleet: RealFleet, scenario: ConfigScenario): Promise<boolean> => {
  const deadline = Date.now() + CONVERGENCE_LIMIT_MS;
  const highest = Math.max(...scenario.accepted.map(({ generation }) => generation));
  while (Date.now() < deadline) {
    const hasConverged = [...fleet.daemons.keys()].every(
      (vm) => fleet.getActiveGeneration(vm) === highest,
    );
    if (hasConverged) return true;
    await sleep(50);
  }
  return false;
};

/** Makes sequential changes without faults; counts the platform calls per change above those of an idle fleet. */
const measureSequentialChanges = async (
  fleet: RealFleet,
  scenario: ConfigScenario,
  editor: LocalAgent,
) => {
  const durationMs = SEQUENTIAL_CHANGES * SEQUENTIAL_INTERVAL_MS;
  const idleCallsBefore = countCalls(fleet);
  await sleep(durationMs);
  const idleCalls = countCalls(fleet) - idleCallsBefore;
  const busyCallsBefore = countCalls(fleet);
  const startedAtMs = Date.now();
  for (let change = 1; change <= SEQUENTIAL_CHANGES; change += 1) {
    await scenario.applyEdit(editor, scenario.getBaseGeneration());
    await sleep(Math.max(0, startedAtMs + change * SEQUENTIAL_INTERVAL_MS - Date.now()));
  }
  const busyCalls = countCalls(fleet) - busyCallsBefore;
  return {
    idleCallsPerSecond: (idleCalls * 1_000) / durationMs,
    callsPerChange: (busyCalls - idleCalls) / SEQUENTIAL_CHANGES,
  };
};

/** Measures the same kind of changes with one naive poller per daemon. */
const measureNaive = async (
  fleet: RealFleet,
  scenario: ConfigScenario,
  editor: LocalAgent,
  random: Random,
) => {
  const before = countCalls(fleet);
  const startedAtMs = Date.now();
  const pollers = DAEMON_DATA_CENTRES.map(
    () => new NaivePoller(fleet.platform.platform, POLL_INTERVAL_MS),
  );
  for (const poller of pollers) poller.start(random() * POLL_INTERVAL_MS);
  const firstChange = scenario.accepted.length;
  for (let change = 0; change < SEQUENTIAL_CHANGES; change += 1) {
    await scenario.applyEdit(editor, scenario.getBaseGeneration());
    await sleep(SEQUENTIAL_INTERVAL_MS);
  }
  await sleep(POLL_INTERVAL_MS);
  for (const poller of pollers) poller.stop();
  const seconds = (Date.now() - startedAtMs) / 1_000;
  const times = pollers.flatMap(({ observations }) =>
    scenario.accepted.slice(firstChange).map(({ generation, atMs }) => {
      const observation = observations.find((candidate) => candidate.generation >= generation);
      return observation === undefined ? Infinity : Math.max(0, observation.atMs - atMs);
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
  await Promise.all(
    DAEMON_DATA_CENTRES.map((dataCentre, index) => fleet.startDaemon(`vm-${index}`, dataCentre)),
  );
  const [editor] = editors;
  if (editor === undefined) throw new Error('the list of editors is empty');
  const scenario = new ConfigScenario(fleet, editors, random);
  await scenario.applyEdit(editor, 0);
  await fleet.waitForGeneration(1);
  report('concurrent edits with a suspended data centre, daemon restarts and lost answers');
  fleet.platform.platform.setBehaviour({ loseAnswers: LOST_ANSWER_PROBABILITY });
  await Promise.all([scenario.runConcurrentEdits(), scenario.injectFaults()]);
  fleet.platform.platform.setBehaviour({ loseAnswers: 0 });
  const hasConverged = await waitForConvergence(fleet, scenario);
  const activationTimesMs = scenario.listActivationTimesMs();
  const reverts = fleet.countGenerationDecreases();
  const editCounts = { accepted: scenario.accepted.length, conflicts: scenario.conflicts };
  report('sequential changes, then the same with one naive poller per daemon');
  const sequential = await measureSequentialChanges(fleet, scenario, editor);
  const naive = await measureNaive(fleet, scenario, editor, random);
  report(`${COLD_START_DAEMONS} daemons of one data centre start at the same time`);
  const cold = await measureColdStart(fleet, COLD_START_DAEMONS);
  report('spread of a generation by gossip, in virtual time');
  const spreads = SPREAD_SIZES.map(([dataCentres, daemons]) =>
    measureSpread(dataCentres, daemons, SPREAD_CHANGES, seed),
  );
  return buildOutcome({
    spreads,
    cold,
    activationTimesMs,
    reverts,
    hasConverged,
    editCounts,
    sequential,
    naive,
    failures: scenario.failures,
  });
};

interface Measurements {
  readonly spreads: readonly SpreadResult[];
  readonly cold: ColdStart;
  readonly activationTimesMs: readonly number[];
  readonly reverts: number;
  readonly hasConverged: boolean;
  readonly editCounts: { readonly accepted: number; readonly conflicts: number };
  readonly failures: number;
  readonly sequential: Awaited<ReturnType<typeof measureSequentialChanges>>;
  readonly naive: Awaited<ReturnType<typeof measureNaive>>;
}

const buildOutcome = (measurements: Measurements): BenchOutcome => {
  const {
    spreads,
    cold,
    activationTimesMs,
    reverts,
    hasConverged,
    editCounts,
    failures,
    sequential,
    naive,
  } = measurements;
  const p50 = getPercentile(activationTimesMs, 0.5);
  const maximum = activationTimesMs.at(-1) ?? Infinity;
  return {
    tables: [
      {
        title: `Changes with ${DAEMON_DATA_CENTRES.length} daemons in 4 data centres`,
        columns: ['way', 'in force p50 ms', 'in force max ms', 'idle calls/s', 'calls/change'],
        rows: [
          [
            'product',
            p50,
            maximum,
            sequential.idleCallsPerSecond.toFixed(2),
            sequential.callsPerChange.toFixed(1),
          ],
          [
            `naive, polls every ${POLL_INTERVAL_MS} ms`,
            naive.inForceP50Ms,
            naive.inForceMaxMs,
            (DAEMON_DATA_CENTRES.length / (POLL_INTERVAL_MS / 1_000)).toFixed(2),
            '-',
          ],
        ],
      },
      {
        title: 'Racing edits',
        columns: ['accepted', 'conflicts', 'failed', 'reverts', 'equal at the end'],
        rows: [
          [
            editCounts.accepted,
            editCounts.conflicts,
            failures,
            reverts,
            hasConverged ? 'yes' : 'no',
          ],
        ],
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
      requireAtMost('in force max ms', maximum, ACTIVATION_LIMIT_MS),
      requireAtMost('daemons that differ at the end', hasConverged ? 0 : 1, 0),
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
      platform_calls_per_change: sequential.callsPerChange,
      platform_idle_calls_per_second: sequential.idleCallsPerSecond,
      accepted: editCounts.accepted,
      conflicts: editCounts.conflicts,
      failures,
      naive,
      cold,
      spreads,
    },
  };
};

/** Measures how fast configuration changes become active, and whether a daemon ever reverts to an older one. */
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

import { createRandomSource } from '@sardinegrade/dispatch';

/** Faults that the soak injects from outside the processes, and maintenance such as drains. */
export enum SoakAction {
  KillVm = 'kill_vm',
  KillAllVms = 'kill_all_vms',
  PauseVm = 'pause_vm',
  TerminateVm = 'terminate_vm',
  DelayWorker = 'delay_worker',
  ResetWorker = 'reset_worker',
  SilenceWorker = 'silence_worker',
  CutWorkerOneWay = 'cut_worker_one_way',
  CrashWorker = 'crash_worker',
  DrainWorker = 'drain_worker',
  PoisonPart = 'poison_part',
  LimitWorker = 'limit_worker',
  StoreDown = 'store_down',
  StoreLimited = 'store_limited',
  StoreSilent = 'store_silent',
  StoreReset = 'store_reset',
  ClearStoreHistory = 'store_forgets',
  RestoreStore = 'restore_store',
  SilenceWatches = 'silence_watches',
  SilenceStoreConnections = 'silence_store_connections',
  ChangeConfiguration = 'change_configuration',
  CutVmsFromWorkers = 'cut_vms_from_workers',
  PauseAnswers = 'pause_answers',
  AnnounceLeaving = 'announce_leaving',
  RefuseWithTime = 'refuse_with_time',
  MakeBrittle = 'make_brittle',
  WriteOddEntry = 'write_odd_entry',
  RebuildWorker = 'rebuild_worker',
}

/** One action of a plan. */
export interface PlannedAction {
  readonly atMs: number;
  readonly action: SoakAction;
  /** Position of the VM or worker in its list, as a fraction from 0 up to 1. */
  readonly target: number;
  readonly durationMs: number;
}

/**
 * Mean interval between two actions, and the shortest and longest duration of their effects, in milliseconds. Durations
 * exceed the interval, so that several effects overlap.
 */
const MEAN_INTERVAL_MS = 900;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 4_000;

/** Actions that are each drawn in a series of their own, so that a further one leaves the plans of noted seeds as they are. */
export const NEWER_ACTIONS: readonly SoakAction[] = [
  SoakAction.CutVmsFromWorkers,
  SoakAction.PauseAnswers,
  SoakAction.AnnounceLeaving,
  SoakAction.RefuseWithTime,
  SoakAction.MakeBrittle,
  SoakAction.WriteOddEntry,
  SoakAction.RebuildWorker,
];

/** Newer actions that only `--only` performs: the program does not keep their rules yet. */
export const PENDING_ACTIONS: ReadonlySet<SoakAction> = new Set([SoakAction.RebuildWorker]);

/** Mean interval between two actions of such a series, and of one that is performed alone, in milliseconds. */
const NEWER_INTERVAL_MS = 8_000;
const ONLY_INTERVAL_MS = 3_000;

/** Spreads seeds: the first numbers that the random source gives for seeds close to each other are close, too. */
const SEED_FACTOR = 0x9e3779b1;
const SERIES_STEP = 1_000_000;

const deriveSeed = (seed: number, series: number): number =>
  Math.imul(seed + series * SERIES_STEP, SEED_FACTOR) >>> 0;

const OLDER_ACTIONS = Object.values(SoakAction).filter((action) => !NEWER_ACTIONS.includes(action));

/**
 * Faults that delay how the drain of a worker or a configuration reaches the VMs. Neither can be checked while they may
 * occur.
 */
const PROPAGATION_FAULTS: ReadonlySet<SoakAction> = new Set([
  SoakAction.KillAllVms,
  SoakAction.PauseVm,
  SoakAction.StoreDown,
  SoakAction.StoreLimited,
  SoakAction.StoreSilent,
  SoakAction.StoreReset,
  SoakAction.RestoreStore,
  SoakAction.SilenceWatches,
  SoakAction.SilenceStoreConnections,
]);

/**
 * Phases without and with these faults alternate. Length of each, in milliseconds: twice the sum of the stable window and
 * the time limit of drains, so that drains can also start and be checked within a phase.
 */
const PHASE_MS = 10_000;

/**
 * Actions of each phase: without and with propagation faults. Drains are listed twice in the first
 * list, so that they are drawn twice as often where they can be checked.
 */
const PHASE_ACTIONS: readonly (readonly SoakAction[])[] = [
  [...OLDER_ACTIONS.filter((action) => !PROPAGATION_FAULTS.has(action)), SoakAction.DrainWorker],
  OLDER_ACTIONS,
];

/**
 * Time without new actions, in milliseconds: at the start for the callers to connect, at the end
 * for the fleet to recover.
 */
const NO_NEW_ACTIONS_START_MS = 2_500;
const NO_NEW_ACTIONS_END_MS = 5_000;

/** A series of actions, drawn one after another at random times. */
interface Series {
  readonly seed: number;
  readonly meanIntervalMs: number;
  /** Whether the first action comes at once, not after an interval. */
  readonly isEarly: boolean;
  /** Lists the actions that may be drawn for a time of the soak. */
  readonly listActions: (atMs: number) => readonly SoakAction[];
}

const buildSeries = (
  { seed, meanIntervalMs, isEarly, listActions }: Series,
  lengthMs: number,
): readonly PlannedAction[] => {
  const random = createRandomSource(seed);
  const pickInterval = (): number => -Math.log(1 - random() * 0.99) * meanIntervalMs;
  const series: PlannedAction[] = [];
  let atMs = NO_NEW_ACTIONS_START_MS + (isEarly ? 0 : pickInterval());
  while (atMs < lengthMs - NO_NEW_ACTIONS_END_MS) {
    const actions = listActions(atMs);
    const action = actions[Math.floor(random() * actions.length)] ?? SoakAction.KillVm;
    const durationMs = MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS);
    series.push({
      atMs: Math.round(atMs),
      action,
      target: random(),
      durationMs: Math.round(durationMs),
    });
    atMs += pickInterval();
  }
  return series;
};

const buildOnly = (
  seed: number,
  lengthMs: number,
  action: SoakAction,
): readonly PlannedAction[] => {
  const listActions = (): readonly SoakAction[] => [action];
  const meanIntervalMs = ONLY_INTERVAL_MS;
  return buildSeries({ seed, meanIntervalMs, isEarly: true, listActions }, lengthMs);
};

const buildNewer = (seed: number, lengthMs: number): readonly PlannedAction[] =>
  NEWER_ACTIONS.flatMap((action, index) => {
    if (PENDING_ACTIONS.has(action)) return [];
    const series: Series = {
      seed: deriveSeed(seed, index + 1),
      meanIntervalMs: NEWER_INTERVAL_MS,
      isEarly: false,
      listActions: () => [action],
    };
    return buildSeries(series, lengthMs);
  });

/**
 * Builds the plan of a soak from a seed.
 *
 * @param seed - seed of the random source; the same seed gives the same plan
 * @param lengthMs - length of the soak in milliseconds
 * @param only - the only action of the plan; undefined for all but those that are pending
 * @returns the actions, sorted by time
 */
export const buildPlan = (
  seed: number,
  lengthMs: number,
  only?: SoakAction,
): readonly PlannedAction[] => {
  if (only !== undefined) return buildOnly(seed, lengthMs, only);
  const listActions = (atMs: number): readonly SoakAction[] =>
    PHASE_ACTIONS[Math.floor(atMs / PHASE_MS) % PHASE_ACTIONS.length] ?? [];
  const older: Series = { seed, meanIntervalMs: MEAN_INTERVAL_MS, isEarly: true, listActions };
  const plan = [...buildSeries(older, lengthMs), ...buildNewer(seed, lengthMs)];
  return plan.sort((left, right) => left.atMs - right.atMs);
};

import { toCandidateSet } from '../workers/index.js';

import type { BuildName, RequestId, UpstreamId } from '@sardinegrade/common';
import type { PromptShape, RoutedService } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { CandidateSet, WorkerRecord } from '../workers/index.js';

/** Inputs of the selection of a worker. */
export interface SelectionContext {
  readonly state: ForwarderState;
  readonly service: RoutedService;
  /** Undefined if the request is not for a model. */
  readonly prompt: PromptShape | undefined;
  /** Target of the route for the first event, in milliseconds. */
  readonly targetMs: number;
  /** Target of the route for the gap between two events, in milliseconds; 0 if there is none. */
  readonly eventGapMs: number;
  /** Random number from 0 to 1 that decides whether the request is a trial of a worker; the same at each placement. */
  readonly trialDraw: number;
  /** Workers to which this request has already been sent. */
  readonly tried: ReadonlySet<UpstreamId>;
  /** Build that began the stream which the request goes on with; undefined if any may serve it. */
  readonly build: BuildName | undefined;
  /** Whether the request begins a stream that may be resumed, so that its build has to be recorded before. */
  readonly beginsStream: boolean;
  /** Id of the request; undefined if the caller sent none. */
  readonly requestId: RequestId | undefined;
  /** Whether the request may be sent again, and therefore may probe an unreachable data centre. */
  readonly isRepeatable: boolean;
  readonly nowMs: number;
}

/**
 * Time after a failed send in which a worker does not go on with streams, in milliseconds: it may have started again as
 * another build, and its new registration has not arrived.
 */
const RESTART_DOUBT_MS = 3_000;

/** Lists the workers that may go on with a stream of a build. */
const listWorkersOfBuild = (
  { state, service, build, tried, nowMs }: SelectionContext,
  all: CandidateSet,
): CandidateSet => {
  if (build === undefined) return all;
  const hasOtherBuilds = state.fleet.directory
    .listAll()
    .some((worker) => worker.service === service.name && worker.build !== build);
  const isInDoubt = ({ worker, health }: WorkerRecord): boolean =>
    hasOtherBuilds && (tried.has(worker.id) || health.hasFailedSince(nowMs - RESTART_DOUBT_MS));
  const records = all.records.filter(
    (record) => record.worker.build === build && !isInDoubt(record),
  );
  return toCandidateSet(records);
};

/** Candidates of single builds: requests that wait are placed again on every change, and a ranking is costly to compute. */
const candidatesByBuild = new WeakMap<CandidateSet, Map<BuildName, CandidateSet>>();

const getCandidatesOf = (all: CandidateSet, build: BuildName): CandidateSet => {
  const byBuild = candidatesByBuild.get(all) ?? new Map<BuildName, CandidateSet>();
  const existing = byBuild.get(build);
  if (existing !== undefined) return existing;
  const set = toCandidateSet(all.records.filter(({ worker }) => worker.build === build));
  byBuild.set(build, set);
  candidatesByBuild.set(all, byBuild);
  return set;
};

/**
 * Lists the workers at which a stream may begin: those of the build that the table of the service names or, without a
 * table, those of recorded builds.
 */
const listRecorded = (
  { state, service, beginsStream, requestId }: SelectionContext,
  all: CandidateSet,
): CandidateSet => {
  if (!beginsStream) return all;
  const builds = state.listStreamBuilds(service.name, requestId);
  if (builds !== undefined) {
    const [build] = builds;
    const canBegin = build !== undefined && state.isBuildCounted(service.name, build);
    return canBegin ? getCandidatesOf(all, build) : { ...all, records: [] };
  }
  const listBuilds = (isUsable: ForwarderState['isBuildRecorded']): readonly WorkerRecord[] =>
    all.records.filter(({ worker }) => isUsable(worker.service, worker.build));
  const recorded = listBuilds(state.isBuildRecorded);
  const records = recorded.length > 0 ? recorded : listBuilds(state.isBuildCounted);
  return records.length === all.records.length ? all : toCandidateSet(records);
};

/**
 * Lists the workers that accept a request of this VM now, according to what they stated in their answers, and that have
 * room for it if they are brittle. Ejected ones do not count while others accept requests soon: they are likely to be gone,
 * and would use up the sends of a request that can wait.
 */
const listAccepting = ({ state, nowMs }: SelectionContext, all: CandidateSet): CandidateSet => {
  const { workerLimits, workerNotices } = state;
  const { brittle } = workerLimits;
  if (workerLimits.limitedCount === 0 && brittle.count === 0 && !workerNotices.hasPaused)
    return all;
  brittle.suspect(all.records);
  const records = all.records.filter(
    (record) =>
      workerNotices.getPauseMs(record) === 0 &&
      workerLimits.canSend(record) &&
      brittle.canSend(record),
  );
  if (records.length === all.records.length) return all;
  const isEjected = ({ health }: WorkerRecord): boolean => health.isEjected(nowMs);
  const isUseless = records.every(isEjected) && !all.records.every(isEjected);
  return { records: isUseless ? [] : records, ranking: all.ranking };
};

/** Lists the workers that were not tried yet, or all workers if each was tried. */
const listUntried = ({ tried }: SelectionContext, all: CandidateSet): CandidateSet => {
  if (tried.size === 0) return all;
  const untried = all.records.filter(({ worker }) => !tried.has(worker.id));
  if (untried.length === 0 || untried.length === all.records.length) return all;
  return toCandidateSet(untried);
};

/** Steps that narrow the workers of a service down to those that may run a request, in the order in which they apply. */
enum NarrowingStep {
  OfBuild = 'of_build',
  Recorded = 'recorded',
  Staying = 'staying',
  Accepting = 'accepting',
  Untried = 'untried',
}

const NARROWERS: Readonly<
  Record<NarrowingStep, (context: SelectionContext, all: CandidateSet) => CandidateSet>
> = {
  [NarrowingStep.OfBuild]: listWorkersOfBuild,
  [NarrowingStep.Recorded]: listRecorded,
  [NarrowingStep.Staying]: ({ state }, all) => state.workerNotices.listStaying(all),
  [NarrowingStep.Accepting]: listAccepting,
  [NarrowingStep.Untried]: listUntried,
};

/** Steps that do not depend on whether a worker accepts requests at present. */
const ELIGIBILITY_STEPS = [
  NarrowingStep.OfBuild,
  NarrowingStep.Recorded,
  NarrowingStep.Staying,
] as const;

/** Steps whose result soon changes by itself: a request for which they leave no worker waits. */
const TEMPORARY_STEPS: ReadonlySet<NarrowingStep> = new Set([NarrowingStep.Accepting]);

/** The workers that may run a request now. */
export interface NarrowedSet {
  readonly candidates: CandidateSet;
  /** Workers that are usable but accept no requests of this VM at present; empty if another one is usable. */
  readonly limited: readonly WorkerRecord[];
}

/**
 * Lists the workers that may get a request, whether or not they accept one now.
 *
 * @param context - request and state
 * @returns the workers
 */
export const listEligible = (context: SelectionContext): CandidateSet => {
  const { state, service, nowMs } = context;
  let eligible = state.fleet.listCandidates(service, nowMs);
  for (const step of ELIGIBILITY_STEPS) eligible = NARROWERS[step](context, eligible);
  return eligible;
};

/**
 * Narrows the workers of a service down to those that may run a request now.
 *
 * @param context - request and state
 * @returns the workers to choose from
 */
export const filterCandidates = (context: SelectionContext): NarrowedSet => {
  const { state, service, nowMs } = context;
  let candidates = state.fleet.listCandidates(service, nowMs);
  for (const step of Object.values(NarrowingStep)) {
    const narrowed = NARROWERS[step](context, candidates);
    const isEmptied = narrowed.records.length === 0 && candidates.records.length > 0;
    if (isEmptied && TEMPORARY_STEPS.has(step))
      return { candidates: narrowed, limited: candidates.records };
    candidates = narrowed;
  }
  return { candidates, limited: [] };
};

import { chooseEngine, chooseWorker, MAX_DIRECT_VMS, shouldWait } from '@sardinegrade/routing';

import { filterCandidates } from './filterCandidates.js';

import type { EngineView, PromptShape } from '@sardinegrade/routing';
import type { CandidateSet, WorkerRecord } from '../workers/index.js';
import type { SelectionContext } from './filterCandidates.js';

/**
 * Number of homes of a part if VMs report to each other directly, and if reports go through relays. The simulations in
 * `chooseEngine.test.ts` compare the two.
 */
const DIRECT_HOME_COUNT = Infinity;
const RELAYED_HOME_COUNT = 3;

/** The worker selected for a request. */
export interface WorkerSelection {
  /** Undefined if there is no usable worker. */
  readonly record: WorkerRecord | undefined;
  /** Prompt tokens that the engine has yet to prefill; 0 for plain services. */
  readonly backlogTokens: number;
  /**
   * Whether the request waits in this VM's queue, because the engine has too large a backlog or no free slot, or no worker
   * accepts requests at present.
   */
  readonly shouldWait: boolean;
  /** Workers that are usable but accept no requests of this VM at present; empty if another one is usable. */
  readonly limited: readonly WorkerRecord[];
}

const NO_WORKER: WorkerSelection = {
  record: undefined,
  shouldWait: false,
  backlogTokens: 0,
  limited: [],
};

/**
 * Decides whether to avoid a worker: it is ejected, or its data centre is unreachable and the request is not used as a
 * probe.
 */
const isAvoided = (context: SelectionContext, { worker, health }: WorkerRecord): boolean => {
  const { state, isRepeatable, nowMs } = context;
  if (health.isEjected(nowMs)) return true;
  if (!state.dataCentres.isUnreachable(worker.dataCentre, nowMs)) return false;
  return !(isRepeatable && state.dataCentres.claimProbe(worker.dataCentre, nowMs));
};

const selectForPlainService = (
  context: SelectionContext,
  { records: candidates }: CandidateSet,
): WorkerSelection => {
  const { state } = context;
  const views = candidates.map((record) => ({
    id: record.worker.id,
    runs: record.pool.busyCount,
    isLocal: record.worker.dataCentre === state.options.dataCentre,
    isAvoided: isAvoided(context, record),
    failureShare: record.health.failureShare,
  }));
  const chosen = chooseWorker(views, state.options.random);
  return { ...NO_WORKER, record: candidates.find(({ worker }) => worker.id === chosen) };
};

const buildEngineView = (
  context: SelectionContext,
  prompt: PromptShape,
  record: WorkerRecord,
): EngineView => {
  const { worker, tracker } = record;
  const { state, nowMs } = context;
  const peerLoad = state.sharedLoad.getLoad(record.hash);
  return {
    id: worker.id,
    backlogTokens: tracker.estimateBacklogTokens(nowMs) + peerLoad.backlogTokens,
    cachedTokens: tracker.prefixCache.countCachedTokens(prompt.parts),
    runs: tracker.runCount + peerLoad.runs,
    isAvoided: isAvoided(context, record),
  };
};

const selectForPrompt = (
  context: SelectionContext,
  prompt: PromptShape,
  { records: candidates, ranking }: CandidateSet,
): WorkerSelection => {
  const { state, service, targetMs, nowMs } = context;
  const peerCount = state.sharedLoad.countLive(nowMs);
  const views = candidates.map((record) => buildEngineView(context, prompt, record));
  const lane = state.lanes.getLane(service.name, targetMs);
  const choice = chooseEngine(prompt, views, {
    ranking,
    lane,
    hasPeerReports: peerCount > 0,
    homeCount: peerCount + 1 <= MAX_DIRECT_VMS ? DIRECT_HOME_COUNT : RELAYED_HOME_COUNT,
  });
  if (choice === undefined) return NO_WORKER;
  const view = views.find(({ id }) => id === choice.id);
  const backlogTokens = view?.backlogTokens ?? 0;
  const isFull = (view?.runs ?? 0) >= (service.engine?.slots ?? Infinity);
  return {
    record: candidates.find(({ worker }) => worker.id === choice.id),
    shouldWait: isFull || shouldWait(lane, backlogTokens),
    backlogTokens,
    limited: [],
  };
};

/**
 * Selects the worker for a request from the state of this VM.
 *
 * @param context - request and state
 * @returns the worker, and whether the request has to wait
 */
export const selectWorker = (context: SelectionContext): WorkerSelection => {
  const { prompt, service } = context;
  const { candidates, limited } = filterCandidates(context);
  if (limited.length > 0) return { ...NO_WORKER, shouldWait: true, limited };
  if (prompt === undefined || service.engine === undefined) {
    return selectForPlainService(context, candidates);
  }
  return selectForPrompt(context, prompt, candidates);
};

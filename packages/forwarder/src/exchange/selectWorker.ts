import {
  chooseEngine,
  chooseTrial,
  chooseWorker,
  isPlainLoadShared,
  MAX_DIRECT_VMS,
  shouldWait,
} from '@sardinegrade/routing';

import { filterCandidates } from './filterCandidates.js';

import type { EngineLoad, EngineView, PromptShape } from '@sardinegrade/routing';
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
  /** Load of all VMs on the engine; none for plain services. */
  readonly load: EngineLoad;
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
  load: { backlogTokens: 0, runs: 0 },
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
  const { state, nowMs } = context;
  const isShared = isPlainLoadShared(candidates.length, state.sharedLoad.countLive(nowMs) + 1);
  const views = candidates.map((record) => ({
    id: record.worker.id,
    runs: record.pool.busyCount + (isShared ? state.sharedLoad.getLoad(record.hash).runs : 0),
    isLocal: record.worker.dataCentre === state.options.dataCentre,
    isAvoided: isAvoided(context, record),
    failureShare: record.health.failureShare,
  }));
  const chosen = chooseWorker(views, state.options.random, isShared);
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
  const pace = state.paces.get(record);
  return {
    id: worker.id,
    backlogTokens: tracker.estimateBacklogTokens(nowMs, pace.speed) + peerLoad.backlogTokens,
    cachedTokens: tracker.prefixCache.countCachedTokens(prompt.parts),
    runs: tracker.runCount + peerLoad.runs,
    isAvoided: isAvoided(context, record),
    pace,
  };
};

const selectForPrompt = (
  context: SelectionContext,
  prompt: PromptShape,
  { records: candidates, ranking }: CandidateSet,
): WorkerSelection => {
  const { state, service, targetMs, eventGapMs, trialDraw, nowMs } = context;
  const peerCount = state.sharedLoad.countLive(nowMs);
  const views = candidates.map((record) => buildEngineView(context, prompt, record));
  const lane = state.lanes.getLane(service.name, targetMs);
  const trial = chooseTrial(views, trialDraw);
  const choice =
    trial ??
    chooseEngine(prompt, views, {
      ranking,
      lane,
      eventGapMs,
      hasPeerReports: peerCount > 0,
      homeCount: peerCount + 1 <= MAX_DIRECT_VMS ? DIRECT_HOME_COUNT : RELAYED_HOME_COUNT,
    });
  if (choice === undefined) return NO_WORKER;
  const view = views.find(({ id }) => id === choice.id);
  const { backlogTokens, runs } = view ?? NO_WORKER.load;
  const isFull = runs >= (service.engine?.slots ?? Infinity);
  return {
    record: candidates.find(({ worker }) => worker.id === choice.id),
    shouldWait: isFull || shouldWait(lane, backlogTokens, view?.pace?.speed),
    load: { backlogTokens, runs },
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

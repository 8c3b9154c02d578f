import {
  BOOT_JITTER_MS,
  BOOT_WAIT_MS,
  CHECK_INTERVAL_MS,
  RETRY_LIMIT_MS,
  RETRY_MS,
  SOURCE_LIMIT,
} from './constants.js';
import { DistributionActionKind, DistributionEventKind } from './enums.js';

import type { VmId } from '@sardinegrade/common';
import type { ConfigurationRecord } from '../../types.js';
import type {
  Backoff,
  DistributionAction,
  DistributionContext,
  DistributionEvent,
  DistributionState,
  DistributionStep,
} from './types.js';

type EventOf<Kind extends DistributionEventKind> = Extract<DistributionEvent, { kind: Kind }>;

type DistributionHandlers = {
  readonly [Kind in DistributionEventKind]: (
    state: DistributionState,
    event: EventOf<Kind>,
    context: DistributionContext,
  ) => DistributionStep;
};

const NO_BACKOFF: Backoff = { failures: 0, retryAtMs: 0 };

/**
 * Makes the state of a daemon that has just started.
 *
 * @param context - time and random source
 * @returns the state without a configuration
 */
export const createDistribution = (context: DistributionContext): DistributionState => ({
  record: undefined,
  highestHeard: 0,
  sources: new Map(),
  isFetching: false,
  fetchBackoff: NO_BACKOFF,
  isWatcher: false,
  isCalling: false,
  watchVersion: undefined,
  platformBackoff: NO_BACKOFF,
  checkAtMs: context.nowMs + BOOT_WAIT_MS + context.random() * BOOT_JITTER_MS,
});

/**
 * @param state - where the configuration stands
 * @returns the generation in force; 0 for none
 */
export const getGeneration = (state: DistributionState): number => state.record?.generation ?? 0;

const addFailure = (backoff: Backoff, context: DistributionContext): Backoff => {
  const ceiling = Math.min(RETRY_LIMIT_MS, RETRY_MS * 2 ** backoff.failures);
  const waitMs = ceiling * (0.5 + context.random() / 2);
  return { failures: backoff.failures + 1, retryAtMs: context.nowMs + waitMs };
};

/** Draws a moment around the mean interval, so that daemons do not ask in step. */
const chooseCheckTime = (context: DistributionContext): number =>
  context.nowMs + CHECK_INTERVAL_MS * (0.5 + context.random());

const selectNewer = (
  sources: ReadonlyMap<VmId, number>,
  generation: number,
): ReadonlyMap<VmId, number> =>
  new Map([...sources].filter(([, announced]) => announced > generation).slice(-SOURCE_LIMIT));

const pickSource = (state: DistributionState, context: DistributionContext): VmId | undefined => {
  const highest = Math.max(0, ...state.sources.values());
  const best = [...state.sources].filter(([, generation]) => generation === highest);
  return best[Math.floor(context.random() * best.length)]?.[0];
};

/** Fetches from a peer that has a newer generation, unless a fetch is under way or has just failed. */
const fetchWhenBehind = (
  state: DistributionState,
  context: DistributionContext,
): DistributionStep => {
  const isBehind = state.highestHeard > getGeneration(state);
  const isWaiting = state.isFetching || context.nowMs < state.fetchBackoff.retryAtMs;
  const from = isBehind && !isWaiting ? pickSource(state, context) : undefined;
  if (from === undefined) return { state, actions: [] };
  const atLeast = getGeneration(state) + 1;
  return {
    state: { ...state, isFetching: true },
    actions: [{ kind: DistributionActionKind.Fetch, from, atLeast }],
  };
};

/** Puts a record into force where it is newer; an older one never replaces a newer one. */
const applyRecord = (
  state: DistributionState,
  record: ConfigurationRecord | undefined,
  context: DistributionContext,
): DistributionStep => {
  if (record === undefined || record.generation <= getGeneration(state)) {
    return { state, actions: [] };
  }
  return {
    state: {
      ...state,
      record,
      highestHeard: Math.max(state.highestHeard, record.generation),
      sources: selectNewer(state.sources, record.generation),
      checkAtMs: state.record === undefined ? chooseCheckTime(context) : state.checkAtMs,
    },
    actions: [{ kind: DistributionActionKind.Install, record }],
  };
};

const askPlatform = (state: DistributionState, context: DistributionContext): DistributionStep => {
  const isWaiting = state.isCalling || context.nowMs < state.platformBackoff.retryAtMs;
  // A peer that has what is missing comes before the platform.
  const hasSource = state.record === undefined && state.sources.size > 0;
  const isDue = state.isWatcher || (context.nowMs >= state.checkAtMs && !hasSource);
  if (isWaiting || !isDue) return { state, actions: [] };
  const action: DistributionAction =
    state.isWatcher && state.watchVersion !== undefined
      ? { kind: DistributionActionKind.Watch, afterVersion: state.watchVersion }
      : { kind: DistributionActionKind.Read };
  return { state: { ...state, isCalling: true }, actions: [action] };
};

const joinSteps = (first: DistributionStep, second: DistributionStep): DistributionStep => ({
  state: second.state,
  actions: [...first.actions, ...second.actions],
});

const handleTick = (state: DistributionState, context: DistributionContext): DistributionStep => {
  const fetched = fetchWhenBehind(state, context);
  return joinSteps(fetched, askPlatform(fetched.state, context));
};

const handleHeard = (
  state: DistributionState,
  event: EventOf<DistributionEventKind.Heard>,
  context: DistributionContext,
): DistributionStep => {
  if (event.generation <= getGeneration(state)) return { state, actions: [] };
  const sources = new Map(state.sources).set(event.from, event.generation);
  const next = {
    ...state,
    sources: selectNewer(sources, getGeneration(state)),
    highestHeard: Math.max(state.highestHeard, event.generation),
  };
  return fetchWhenBehind(next, context);
};

const handleFetched = (
  state: DistributionState,
  event: EventOf<DistributionEventKind.Fetched>,
  context: DistributionContext,
): DistributionStep => {
  const idle = { ...state, isFetching: false, fetchBackoff: NO_BACKOFF };
  const installed = applyRecord(idle, event.record, context);
  return joinSteps(installed, fetchWhenBehind(installed.state, context));
};

const handleFetchFailed = (
  state: DistributionState,
  event: EventOf<DistributionEventKind.FetchFailed>,
  context: DistributionContext,
): DistributionStep => {
  const sources = new Map(state.sources);
  sources.delete(event.from);
  const fetchBackoff = addFailure(state.fetchBackoff, context);
  return { state: { ...state, sources, isFetching: false, fetchBackoff }, actions: [] };
};

const handlePlatform = (
  state: DistributionState,
  event: EventOf<DistributionEventKind.PlatformRead | DistributionEventKind.PlatformWatched>,
  context: DistributionContext,
): DistributionStep => {
  // After a quiet watch the object is read again: a platform that was restored counts anew.
  const isQuiet =
    event.kind === DistributionEventKind.PlatformWatched && event.record === undefined;
  const next = {
    ...state,
    isCalling: false,
    watchVersion: isQuiet ? undefined : event.version,
    platformBackoff: NO_BACKOFF,
    checkAtMs: chooseCheckTime(context),
  };
  const installed = applyRecord(next, event.record, context);
  const asked = state.isWatcher
    ? askPlatform(installed.state, context)
    : { state: installed.state, actions: [] };
  if (getGeneration(asked.state) > 0) return joinSteps(installed, asked);
  // Nothing stands yet: look again soon.
  const checkAtMs = context.nowMs + RETRY_LIMIT_MS * (0.5 + context.random() / 2);
  return joinSteps(installed, { ...asked, state: { ...asked.state, checkAtMs } });
};

const handlePlatformFailed = (
  state: DistributionState,
  context: DistributionContext,
): DistributionStep => ({
  state: {
    ...state,
    isCalling: false,
    watchVersion: undefined,
    platformBackoff: addFailure(state.platformBackoff, context),
  },
  actions: [],
});

const handleWatcherChanged = (
  state: DistributionState,
  event: EventOf<DistributionEventKind.WatcherChanged>,
  context: DistributionContext,
): DistributionStep => {
  if (event.isWatcher === state.isWatcher) return { state, actions: [] };
  return askPlatform({ ...state, isWatcher: event.isWatcher, watchVersion: undefined }, context);
};

const HANDLERS: DistributionHandlers = {
  [DistributionEventKind.Tick]: (state, _event, context) => handleTick(state, context),
  [DistributionEventKind.Heard]: handleHeard,
  [DistributionEventKind.WatcherChanged]: handleWatcherChanged,
  [DistributionEventKind.Fetched]: handleFetched,
  [DistributionEventKind.FetchFailed]: handleFetchFailed,
  [DistributionEventKind.PlatformRead]: handlePlatform,
  [DistributionEventKind.PlatformWatched]: handlePlatform,
  [DistributionEventKind.PlatformFailed]: (state, _event, context) =>
    handlePlatformFailed(state, context),
  [DistributionEventKind.Stored]: (state, event, context) =>
    applyRecord(state, event.record, context),
};

/**
 * The distribution machine: how one daemon comes by the newest configuration. Pure but for the random
 * source passed in.
 *
 * @param state - where the configuration stands
 * @param event - what happened
 * @param context - time and random source
 * @returns the next state and what is to be done, in order
 */
export const reduceDistribution = <Kind extends DistributionEventKind>(
  state: DistributionState,
  event: EventOf<Kind>,
  context: DistributionContext,
): DistributionStep => HANDLERS[event.kind](state, event, context);

import {
  BOOT_JITTER_MS,
  BOOT_WAIT_MS,
  CHECK_INTERVAL_MS,
  RETRY_LIMIT_MS,
  RETRY_INITIAL_MS,
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
 * Creates the initial state of a starting daemon.
 *
 * @param context - current time and random source
 * @returns the state, without a configuration
 */
export const createDistribution = (context: DistributionContext): DistributionState => ({
  record: undefined,
  highestKnownGeneration: 0,
  sources: new Map(),
  isFetching: false,
  fetchBackoff: NO_BACKOFF,
  isWatcher: false,
  isPlatformCallPending: false,
  watchVersion: undefined,
  platformBackoff: NO_BACKOFF,
  checkAtMs: context.nowMs + BOOT_WAIT_MS + context.random() * BOOT_JITTER_MS,
});

/**
 * @param state - current distribution state
 * @returns the newest generation that this daemon has received, or 0 if there is none
 */
export const getGeneration = (state: DistributionState): number => state.record?.generation ?? 0;

const addFailure = (backoff: Backoff, context: DistributionContext): Backoff => {
  const limitMs = Math.min(RETRY_LIMIT_MS, RETRY_INITIAL_MS * 2 ** backoff.failures);
  const waitMs = limitMs * (0.5 + context.random() / 2);
  return { failures: backoff.failures + 1, retryAtMs: context.nowMs + waitMs };
};

/** Chooses a random time around the average interval, so that daemons don't read the platform simultaneously. */
const chooseCheckTime = (context: DistributionContext): number =>
  context.nowMs + CHECK_INTERVAL_MS * (0.5 + context.random());

const selectNewerSources = (
  sources: ReadonlyMap<VmId, number>,
  generation: number,
): ReadonlyMap<VmId, number> =>
  new Map([...sources].filter(([, announced]) => announced > generation).slice(-SOURCE_LIMIT));

const pickSource = (state: DistributionState, context: DistributionContext): VmId | undefined => {
  const highest = Math.max(0, ...state.sources.values());
  const best = [...state.sources].filter(([, generation]) => generation === highest);
  return best[Math.floor(context.random() * best.length)]?.[0];
};

/** Fetches a newer generation from a peer, unless a fetch is pending or backing off after a failure. */
const fetchWhenBehind = (
  state: DistributionState,
  context: DistributionContext,
): DistributionStep => {
  const isBehind = state.highestKnownGeneration > getGeneration(state);
  const isWaiting = state.isFetching || context.nowMs < state.fetchBackoff.retryAtMs;
  const from = isBehind && !isWaiting ? pickSource(state, context) : undefined;
  if (from === undefined) return { state, actions: [] };
  const atLeast = getGeneration(state) + 1;
  return {
    state: { ...state, isFetching: true },
    actions: [{ kind: DistributionActionKind.Fetch, from, atLeast }],
  };
};

/**
 * Keeps a record and requests its activation if it is newer than the newest one received so far; an older record
 * never replaces a newer one.
 */
const mergeRecord = (
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
      highestKnownGeneration: Math.max(state.highestKnownGeneration, record.generation),
      sources: selectNewerSources(state.sources, record.generation),
      checkAtMs: state.record === undefined ? chooseCheckTime(context) : state.checkAtMs,
    },
    actions: [{ kind: DistributionActionKind.Install, record }],
  };
};

const readOrWatchPlatform = (
  state: DistributionState,
  context: DistributionContext,
): DistributionStep => {
  const isWaiting = state.isPlatformCallPending || context.nowMs < state.platformBackoff.retryAtMs;
  // A daemon without a configuration prefers to fetch it from a peer over reading the platform.
  const hasSource = state.record === undefined && state.sources.size > 0;
  const isDue = state.isWatcher || (context.nowMs >= state.checkAtMs && !hasSource);
  if (isWaiting || !isDue) return { state, actions: [] };
  const action: DistributionAction =
    state.isWatcher && state.watchVersion !== undefined
      ? { kind: DistributionActionKind.Watch, afterVersion: state.watchVersion }
      : { kind: DistributionActionKind.Read };
  return { state: { ...state, isPlatformCallPending: true }, actions: [action] };
};

const joinSteps = (first: DistributionStep, second: DistributionStep): DistributionStep => ({
  state: second.state,
  actions: [...first.actions, ...second.actions],
});

const handleTick = (state: DistributionState, context: DistributionContext): DistributionStep => {
  const fetched = fetchWhenBehind(state, context);
  return joinSteps(fetched, readOrWatchPlatform(fetched.state, context));
};

const handleGenerationReported = (
  state: DistributionState,
  event: EventOf<DistributionEventKind.GenerationReported>,
  context: DistributionContext,
): DistributionStep => {
  if (event.generation <= getGeneration(state)) return { state, actions: [] };
  const sources = new Map(state.sources).set(event.from, event.generation);
  const next = {
    ...state,
    sources: selectNewerSources(sources, getGeneration(state)),
    highestKnownGeneration: Math.max(state.highestKnownGeneration, event.generation),
  };
  return fetchWhenBehind(next, context);
};

const handleFetched = (
  state: DistributionState,
  event: EventOf<DistributionEventKind.Fetched>,
  context: DistributionContext,
): DistributionStep => {
  const idle = { ...state, isFetching: false, fetchBackoff: NO_BACKOFF };
  const merged = mergeRecord(idle, event.record, context);
  return joinSteps(merged, fetchWhenBehind(merged.state, context));
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

const handlePlatformAnswer = (
  state: DistributionState,
  event: EventOf<DistributionEventKind.PlatformRead | DistributionEventKind.PlatformWatched>,
  context: DistributionContext,
): DistributionStep => {
  // After a watch without changes the object is read again: a platform that was restored restarts its
  // version numbers, so a watch after the old version would miss changes.
  const isUnchanged =
    event.kind === DistributionEventKind.PlatformWatched && event.record === undefined;
  const next = {
    ...state,
    isPlatformCallPending: false,
    watchVersion: isUnchanged ? undefined : event.version,
    platformBackoff: NO_BACKOFF,
    checkAtMs: chooseCheckTime(context),
  };
  const merged = mergeRecord(next, event.record, context);
  const requested = state.isWatcher
    ? readOrWatchPlatform(merged.state, context)
    : { state: merged.state, actions: [] };
  if (getGeneration(requested.state) > 0) return joinSteps(merged, requested);
  // No configuration exists yet, so the next read is scheduled sooner than usual.
  const checkAtMs = context.nowMs + RETRY_LIMIT_MS * (0.5 + context.random() / 2);
  return joinSteps(merged, { ...requested, state: { ...requested.state, checkAtMs } });
};

const handlePlatformFailed = (
  state: DistributionState,
  context: DistributionContext,
): DistributionStep => ({
  state: {
    ...state,
    isPlatformCallPending: false,
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
  return readOrWatchPlatform(
    { ...state, isWatcher: event.isWatcher, watchVersion: undefined },
    context,
  );
};

const HANDLERS: DistributionHandlers = {
  [DistributionEventKind.Tick]: (state, _event, context) => handleTick(state, context),
  [DistributionEventKind.GenerationReported]: handleGenerationReported,
  [DistributionEventKind.WatcherChanged]: handleWatcherChanged,
  [DistributionEventKind.Fetched]: handleFetched,
  [DistributionEventKind.FetchFailed]: handleFetchFailed,
  [DistributionEventKind.PlatformRead]: handlePlatformAnswer,
  [DistributionEventKind.PlatformWatched]: handlePlatformAnswer,
  [DistributionEventKind.PlatformFailed]: (state, _event, context) =>
    handlePlatformFailed(state, context),
  [DistributionEventKind.Stored]: (state, event, context) =>
    mergeRecord(state, event.record, context),
};

/**
 * Reducer of the distribution state machine, by which a daemon obtains the newest configuration. Pure
 * except for the random source in the context.
 *
 * @param state - current distribution state
 * @param event - event to handle
 * @param context - current time and random source
 * @returns the next state and the actions to perform, in order
 */
export const reduceDistribution = <Kind extends DistributionEventKind>(
  state: DistributionState,
  event: EventOf<Kind>,
  context: DistributionContext,
): DistributionStep => HANDLERS[event.kind](state, event, context);

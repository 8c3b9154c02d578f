import { IndexedHeap, createAverage } from '../collections/index.js';
import { DispatchEventKind, PreemptionMode } from '../enums.js';
import { computeLimit } from '../engines/index.js';
import { SuspicionTable } from '../quarantine/index.js';
import { handleAsk } from './admit.js';
import { countByClass, countWaiting } from './classes.js';
import { handleConfigured } from './configure.js';
import { expireWaiting, refuseAllTooLate } from './deadlines.js';
import { handleProgress, handleRelease, handleWithdraw } from './grantEvents.js';
import {
  handleLeaving,
  handleLoadReport,
  handleLost,
  handleProbed,
  removeOverdue,
  checkEngines,
} from './engineEvents.js';
import { preemptForUrgent } from './preempt.js';
import { grantFreeSlots } from './grantFreeSlots.js';
import { handleQuarantined } from './quarantine.js';

import type { VmId } from '@sardinegrade/common';
import type { DispatchAction, DispatchEvent, Dispatcher, DispatcherOptions } from '../types.js';
import type { TieredState } from './types.js';

/** Ended requests are kept for this long, to answer messages that arrive repeatedly or out of order. */
const ENDED_REQUEST_LIFETIME_MS = 30_000;

/** Minimum time between two runs of the periodic checks, regardless of how often ticks arrive. */
const MIN_CHECK_INTERVAL_MS = 100;

const createState = ({ random, tuning }: DispatcherOptions): TieredState => ({
  tuning: {
    adaptsLimits: true,
    preemption: PreemptionMode.Pause,
    usesPrefixes: true,
    detectsStragglers: true,
    ...tuning,
  },
  random,
  configuration: undefined,
  classes: [],
  classByKey: new Map(),
  engines: [],
  engineById: new Map(),
  availablePools: new Set(),
  capacityByPool: new Map(),
  records: new Map(),
  deadlines: new IndexedHeap((record) => record.latestStartMs),
  recentlyEnded: new Map(),
  suspicions: new SuspicionTable(),
  runningSuspects: new Map(),
  holdMs: createAverage(),
  firstTokenMs: createAverage(),
  medianIntervalMs: undefined,
  nextSequence: 0,
  checkedAtMs: -Infinity,
  actions: [],
});

const removeExpiredRequests = (state: TieredState, nowMs: number): void => {
  for (const [askId, { atMs }] of state.recentlyEnded) {
    if (nowMs - atMs < ENDED_REQUEST_LIFETIME_MS) return;
    state.recentlyEnded.delete(askId);
  }
};

const handleTick = (state: TieredState, nowMs: number): void => {
  if (nowMs - state.checkedAtMs < MIN_CHECK_INTERVAL_MS) return;
  state.checkedAtMs = nowMs;
  checkEngines(state, nowMs);
  removeOverdue(state, nowMs);
  state.suspicions.expire(nowMs);
  removeExpiredRequests(state, nowMs);
  refuseAllTooLate(state, nowMs);
};

const handleVmLost = (state: TieredState, vm: VmId, nowMs: number): void => {
  for (const record of [...state.records.values()]) {
    if (record.ask.vm === vm) handleWithdraw(state, record.ask.askId, nowMs);
  }
};

type EventOf<Kind extends DispatchEventKind> = Extract<DispatchEvent, { kind: Kind }>;

type Handlers = {
  readonly [Kind in DispatchEventKind]: (
    state: TieredState,
    event: EventOf<Kind>,
    nowMs: number,
  ) => void;
};

const HANDLERS: Handlers = {
  [DispatchEventKind.Ask]: (state, { ask }, nowMs) => handleAsk(state, ask, nowMs),
  [DispatchEventKind.Withdraw]: (state, { askId }, nowMs) => handleWithdraw(state, askId, nowMs),
  [DispatchEventKind.Progress]: (state, { askId, tokens }, nowMs) =>
    handleProgress(state, askId, tokens, nowMs),
  [DispatchEventKind.Release]: (state, { release }, nowMs) => handleRelease(state, release, nowMs),
  [DispatchEventKind.LoadReport]: (state, { report }, nowMs) =>
    handleLoadReport(state, report, nowMs),
  [DispatchEventKind.CacheEvent]: (state, { event }, nowMs) =>
    state.engineById.get(event.upstream)?.prefixes.applyEvent(event, nowMs),
  [DispatchEventKind.UpstreamLeaving]: (state, { upstream }, nowMs) =>
    handleLeaving(state, upstream, nowMs),
  [DispatchEventKind.UpstreamLost]: (state, { upstream }, nowMs) =>
    handleLost(state, upstream, nowMs),
  [DispatchEventKind.UpstreamProbed]: (state, { upstream, isHealthy }, nowMs) =>
    handleProbed(state, upstream, isHealthy, nowMs),
  [DispatchEventKind.Quarantined]: (state, { fingerprint, untilMs }, nowMs) =>
    handleQuarantined(state, fingerprint, untilMs, nowMs),
  [DispatchEventKind.Configured]: (state, { configuration, upstreams }, nowMs) =>
    handleConfigured(state, configuration, upstreams, nowMs),
  [DispatchEventKind.VmLost]: (state, { vm }, nowMs) => handleVmLost(state, vm, nowMs),
  [DispatchEventKind.Tick]: (state, _event, nowMs) => handleTick(state, nowMs),
};

const applyEvent = (state: TieredState, event: DispatchEvent, nowMs: number): void => {
  const handler = HANDLERS[event.kind] as (
    state: TieredState,
    event: DispatchEvent,
    nowMs: number,
  ) => void;
  handler(state, event, nowMs);
};

const takeActions = (state: TieredState): readonly DispatchAction[] => {
  const { actions } = state;
  state.actions = [];
  return actions;
};

/**
 * Creates a dispatcher with the tiered policy.
 *
 * @param options - random source, and which parts of the policy are switched off
 * @returns a dispatcher that refuses all requests as not ready until it is configured
 */
export const createTieredDispatcher = (options: DispatcherOptions): Dispatcher => {
  const state = createState(options);
  return {
    handle: (event, nowMs) => {
      state.capacityByPool.clear();
      applyEvent(state, event, nowMs);
      grantFreeSlots(state, nowMs);
      expireWaiting(state, nowMs);
      preemptForUrgent(state, nowMs);
      return takeActions(state);
    },
    describe: () => ({
      queuedByClass: countByClass(state, countWaiting),
      grantedByClass: countByClass(state, ({ running }) => running.size),
      upstreams: state.engines.map((engine) => ({
        upstream: engine.id,
        granted: engine.running.size,
        limit: computeLimit(engine),
        health: engine.health,
      })),
    }),
  };
};

import { ResultCode } from '@sardinegrade/common';

import { RequestEvent, RequestState, SuspicionState } from '../charts/index.js';
import { DispatchActionKind } from '../enums.js';
import { buildClassKey, compareClasses, countWaiting } from './classes.js';
import { estimateRetryAfterMs, refuseDoomed } from './overload.js';
import { isUsable } from './place.js';
import { takePlace } from './preempt.js';
import {
  applyRequestEvent,
  buildGrant,
  computePromptCost,
  isUnderSuspicion,
  refuseRecord,
  startGrant,
} from './records.js';
import { findNext, grantRoom } from './serve.js';

import type { GrantAsk } from '../types.js';
import type { AskRecord, ClassState, TieredState } from './types.js';

const DEFAULT_OUTPUT_TOKENS = 256;

/** Time that a grant takes to act, kept free before the deadline. */
const START_MARGIN_MS = 100;

/** The part of its time that a first attempt may be expected to run. */
const RUN_SHARE_LIMIT = 0.5;

const estimateOutput = (owner: ClassState, ask: GrantAsk): number => {
  const usual = owner.outputTokens.value ?? DEFAULT_OUTPUT_TOKENS;
  const left = ask.maxTokens > 0 ? Math.max(1, ask.maxTokens - ask.resumeAt) : usual;
  return Math.min(usual, left);
};

const computeLatestStart = (owner: ClassState, ask: GrantAsk, nowMs: number): number => {
  const leftMs = ask.deadlineAtMs - nowMs;
  const isFirst = ask.attempt === 1 && ask.resumeAt === 0;
  const runMs = isFirst ? Math.min(owner.holdMs.value ?? 0, RUN_SHARE_LIMIT * leftMs) : 0;
  return ask.deadlineAtMs - Math.max(0, runMs) - START_MARGIN_MS;
};

const PRIORITIES_PER_TIER = 100;

const createRecord = (
  state: TieredState,
  owner: ClassState,
  ask: GrantAsk,
  nowMs: number,
): AskRecord => {
  const expectedTokens = estimateOutput(owner, ask);
  const { priority } = owner.definition;
  state.nextSequence += 1;
  return {
    ask,
    owner,
    sequence: state.nextSequence,
    cost: computePromptCost(ask.promptTokens) + expectedTokens,
    expectedTokens,
    latestStartMs: computeLatestStart(owner, ask, nowMs),
    isQueued: false,
    state: RequestState.Waiting,
    isSuspect: false,
    engine: undefined,
    priority: owner.tierRank * PRIORITIES_PER_TIER + Math.min(priority, PRIORITIES_PER_TIER - 1),
    tokens: 0,
    isGuaranteed: false,
    outstanding: 0,
    placedAtMs: nowMs,
    heldMs: 0,
    wasPaused: false,
    progressAtMs: undefined,
  };
};

const refuseUnknown = (
  state: TieredState,
  ask: GrantAsk,
  code: ResultCode,
  nowMs: number,
): void => {
  const { askId } = ask;
  const refusal = {
    kind: DispatchActionKind.Refuse,
    askId,
    code,
    retryAfterMs: undefined,
  } as const;
  state.settled.set(askId, { atMs: nowMs, refusal });
  state.actions.push(refusal);
};

/** Gives a repeated ask the answer that it got before, if any. */
const answerRepeated = (state: TieredState, ask: GrantAsk): boolean => {
  const record = state.records.get(ask.askId);
  if (record !== undefined) {
    const isRunning = record.state === RequestState.Granted && ask.heldUpstream === undefined;
    if (isRunning && record.engine !== undefined)
      state.actions.push(buildGrant(record, record.engine));
    return true;
  }
  const settled = state.settled.get(ask.askId);
  if (settled === undefined) return false;
  if (settled.refusal !== undefined) state.actions.push(settled.refusal);
  return true;
};

const registerHeld = (state: TieredState, record: AskRecord, nowMs: number): void => {
  const { heldUpstream } = record.ask;
  const engine = heldUpstream === undefined ? undefined : state.engineById.get(heldUpstream);
  if (engine === undefined || !applyRequestEvent(record, RequestEvent.Hold)) return;
  state.records.set(record.ask.askId, record);
  startGrant(state, record, engine, nowMs);
};

const enqueue = (state: TieredState, record: AskRecord): void => {
  const { ask, owner } = record;
  state.records.set(ask.askId, record);
  state.deadlines.add(record);
  const isConstrained = isUnderSuspicion(state, record) || ask.excludedUpstreams.length > 0;
  if (isConstrained) owner.constrained.add(record);
  else owner.queue.add(record);
};

const isServable = (state: TieredState, owner: ClassState, ask: GrantAsk): boolean =>
  state.engines.some(
    (engine) =>
      engine.pool === owner.pool &&
      isUsable(state, engine) &&
      !ask.excludedUpstreams.includes(engine.id),
  );

const findDisplaced = (state: TieredState, owner: ClassState): AskRecord | undefined => {
  for (const other of [...state.classes].sort(compareClasses).reverse()) {
    if (other.tierRank <= owner.tierRank) return undefined;
    // The last one stays, so that the class's guaranteed share finds it.
    if (other.pool === owner.pool && other.queue.size > 1) return other.queue.peekExcess();
  }
  return undefined;
};

const computeQueueLimit = (state: TieredState, owner: ClassState): number => {
  let sum = owner.definition.queueLimit;
  for (const other of state.classes) {
    if (other.tierRank > owner.tierRank) sum += other.definition.queueLimit;
  }
  return sum;
};

const refuseQueued = (state: TieredState, record: AskRecord, nowMs: number): void => {
  const retryAfterMs = estimateRetryAfterMs(state, record.owner, nowMs);
  refuseRecord(state, record, ResultCode.QueueFull, retryAfterMs, nowMs);
};

/**
 * Keeps a class's queue within its limit. A waiting ask that does not pay gives way first, then a running request
 * of a lower tier, then a waiting ask that pays for a lower tier.
 */
const ensureLimit = (state: TieredState, record: AskRecord, nowMs: number): void => {
  const { owner } = record;
  if (countWaiting(owner) <= owner.definition.queueLimit) return;
  const canBorrow = countWaiting(owner) <= computeQueueLimit(state, owner);
  const displaced = canBorrow ? findDisplaced(state, owner) : undefined;
  if (displaced?.owner.isPaying === false) {
    refuseQueued(state, displaced, nowMs);
    return;
  }
  const next = findNext(state, owner, nowMs) ?? record;
  const bounds = { paying: owner.isPaying, guaranteed: owner.isPaying };
  if (takePlace(state, next, bounds, nowMs)) return;
  const isConstrained = owner.constrained.has(record);
  const excess = isConstrained ? record : (owner.queue.peekExcess() ?? record);
  refuseQueued(state, displaced ?? excess, nowMs);
};

const findRefusal = (
  state: TieredState,
  owner: ClassState | undefined,
  ask: GrantAsk,
  nowMs: number,
): ResultCode | undefined => {
  const suspicion = state.suspicions.getState(ask.fingerprint);
  if (suspicion === SuspicionState.Quarantined) return ResultCode.Quarantined;
  if (state.configuration === undefined) return ResultCode.NotReady;
  if (owner?.isConfigured !== true) return ResultCode.UnknownClass;
  return ask.deadlineAtMs <= nowMs ? ResultCode.DeadlineBeforeStart : undefined;
};

/**
 * Takes a new ask: grants, queues or refuses it.
 *
 * @param state - the dispatcher's state
 * @param ask - the ask
 * @param nowMs - the present
 */
export const handleAsk = (state: TieredState, ask: GrantAsk, nowMs: number): void => {
  if (answerRepeated(state, ask)) return;
  const owner = state.classByKey.get(buildClassKey(ask));
  if (owner !== undefined && ask.heldUpstream !== undefined) {
    registerHeld(state, createRecord(state, owner, ask, nowMs), nowMs);
    return;
  }
  const code = findRefusal(state, owner, ask, nowMs);
  if (owner === undefined || code !== undefined) {
    refuseUnknown(state, ask, code ?? ResultCode.UnknownClass, nowMs);
    return;
  }
  if (ask.isSuspect) state.suspicions.suspect(ask.fingerprint, nowMs);
  const record = createRecord(state, owner, ask, nowMs);
  enqueue(state, record);
  if (!isServable(state, owner, ask)) {
    const retryAfterMs = estimateRetryAfterMs(state, owner, nowMs);
    refuseRecord(state, record, ResultCode.NoUpstream, retryAfterMs, nowMs);
    return;
  }
  grantRoom(state, nowMs);
  if (record.state !== RequestState.Waiting) return;
  ensureLimit(state, record, nowMs);
  refuseDoomed(state, owner, nowMs);
};

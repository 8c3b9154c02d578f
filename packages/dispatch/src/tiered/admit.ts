import { ResultCode } from '@sardinegrade/common';

import { RequestEvent, RequestState, SuspicionState } from '../charts/index.js';
import { DispatchActionKind } from '../enums.js';
import { buildClassKey, compareClasses, countWaiting } from './classes.js';
import { estimateRetryAfterMs, refuseTooLate } from './overload.js';
import { isUsable } from './engineSelection.js';
import { grantOrPreempt } from './preempt.js';
import {
  applyRequestEvent,
  buildGrant,
  computePromptCost,
  isUnderSuspicion,
  refuseRecord,
  startGrant,
} from './records.js';
import { findNextRequest, grantFreeSlots } from './grantFreeSlots.js';

import type { GrantRequest } from '../types.js';
import type { RequestRecord, ClassState, TieredState } from './types.js';

/** Estimated length of an answer before the class has finished its first request. */
const DEFAULT_OUTPUT_TOKENS = 256;

/** Time reserved before the deadline for a grant to take effect. */
const GRANT_DELIVERY_MARGIN_MS = 100;

/** Maximum share of the time until the deadline that is reserved for the run of a first attempt. */
const MAX_RUN_SHARE = 0.5;

const estimateOutputTokens = (classState: ClassState, ask: GrantRequest): number => {
  const meanTokens = classState.outputTokens.value ?? DEFAULT_OUTPUT_TOKENS;
  const maxTokensLeft = ask.maxTokens > 0 ? Math.max(1, ask.maxTokens - ask.resumeAt) : meanTokens;
  return Math.min(meanTokens, maxTokensLeft);
};

const computeLatestStart = (classState: ClassState, ask: GrantRequest, nowMs: number): number => {
  const leftMs = ask.deadlineAtMs - nowMs;
  const isFirst = ask.attempt === 1 && ask.resumeAt === 0;
  const runMs = isFirst ? Math.min(classState.holdMs.value ?? 0, MAX_RUN_SHARE * leftMs) : 0;
  return ask.deadlineAtMs - Math.max(0, runMs) - GRANT_DELIVERY_MARGIN_MS;
};

/** Number of engine priorities per tier; the configured priority of a class is limited to this range. */
const PRIORITIES_PER_TIER = 100;

const createRecord = (
  state: TieredState,
  classState: ClassState,
  ask: GrantRequest,
  nowMs: number,
): RequestRecord => {
  const expectedTokens = estimateOutputTokens(classState, ask);
  const { priority } = classState.definition;
  state.nextSequence += 1;
  return {
    ask,
    classState,
    sequence: state.nextSequence,
    cost: computePromptCost(ask.promptTokens) + expectedTokens,
    expectedTokens,
    latestStartMs: computeLatestStart(classState, ask, nowMs),
    isQueued: false,
    state: RequestState.Waiting,
    isSuspectRetry: false,
    engine: undefined,
    priority:
      classState.tierRank * PRIORITIES_PER_TIER + Math.min(priority, PRIORITIES_PER_TIER - 1),
    tokens: 0,
    isGuaranteed: false,
    outstandingTokens: 0,
    slotAcquiredAtMs: nowMs,
    earlierHoldMs: 0,
    wasPaused: false,
    progressAtMs: undefined,
  };
};

const refuseWithoutRecord = (
  state: TieredState,
  ask: GrantRequest,
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
  state.recentlyEnded.set(askId, { atMs: nowMs, refusal });
  state.actions.push(refusal);
};

/** Answers a repeated ask as before, if it has been answered. */
const answerRepeatedAsk = (state: TieredState, ask: GrantRequest): boolean => {
  const record = state.records.get(ask.askId);
  if (record !== undefined) {
    const isRunning = record.state === RequestState.Granted && ask.heldUpstream === undefined;
    if (isRunning && record.engine !== undefined)
      state.actions.push(buildGrant(record, record.engine));
    return true;
  }
  const ended = state.recentlyEnded.get(ask.askId);
  if (ended === undefined) return false;
  if (ended.refusal !== undefined) state.actions.push(ended.refusal);
  return true;
};

const registerHeldGrant = (state: TieredState, record: RequestRecord, nowMs: number): void => {
  const { heldUpstream } = record.ask;
  const engine = heldUpstream === undefined ? undefined : state.engineById.get(heldUpstream);
  if (engine === undefined || !applyRequestEvent(record, RequestEvent.Hold)) return;
  state.records.set(record.ask.askId, record);
  startGrant(state, record, engine, nowMs);
};

const enqueue = (state: TieredState, record: RequestRecord): void => {
  const { ask, classState } = record;
  state.records.set(ask.askId, record);
  state.deadlines.add(record);
  const isConstrained = ask.resumeAt > 0 || ask.excludedUpstreams.length > 0;
  if (isConstrained || isUnderSuspicion(state, record)) classState.constrained.add(record);
  else classState.queue.add(record);
};

const isServable = (state: TieredState, classState: ClassState, ask: GrantRequest): boolean =>
  state.engines.some(
    (engine) =>
      engine.pool === classState.pool &&
      isUsable(state, engine) &&
      !ask.excludedUpstreams.includes(engine.id),
  );

const findLowerTierWaiting = (
  state: TieredState,
  classState: ClassState,
): RequestRecord | undefined => {
  for (const other of [...state.classes].sort(compareClasses).reverse()) {
    if (other.tierRank <= classState.tierRank) return undefined;
    // The last waiting request stays in the queue, so that the class can use its guaranteed share.
    if (other.pool === classState.pool && other.queue.size > 1)
      return other.queue.peekNewestOfLargest();
  }
  return undefined;
};

const computeLimitWithLowerTiers = (state: TieredState, classState: ClassState): number => {
  let sum = classState.definition.queueLimit;
  for (const other of state.classes) {
    if (other.tierRank > classState.tierRank) sum += other.definition.queueLimit;
  }
  return sum;
};

const refuseQueueFull = (state: TieredState, record: RequestRecord, nowMs: number): void => {
  const retryAfterMs = estimateRetryAfterMs(state, record.classState, nowMs);
  refuseRecord(state, record, ResultCode.QueueFull, retryAfterMs, nowMs);
};

/**
 * Refuses or grants a request if a class exceeds its queue limit. The class may also use the limits of lower tiers; up
 * to the sum of these limits, a non-paying waiting request of a lower tier is refused first. Otherwise the next request
 * of the class is granted, if necessary by preempting a running request of a lower tier. If that is not possible, a
 * paying waiting request of a lower tier is refused (up to the same sum), or else the newest request of the class.
 */
const ensureQueueLimit = (state: TieredState, record: RequestRecord, nowMs: number): void => {
  const { classState } = record;
  if (countWaiting(classState) <= classState.definition.queueLimit) return;
  const canBorrow = countWaiting(classState) <= computeLimitWithLowerTiers(state, classState);
  const lowerTierWaiting = canBorrow ? findLowerTierWaiting(state, classState) : undefined;
  if (lowerTierWaiting?.classState.isPaying === false) {
    refuseQueueFull(state, lowerTierWaiting, nowMs);
    return;
  }
  const next = findNextRequest(state, classState, nowMs) ?? record;
  const bounds = { paying: classState.isPaying, guaranteed: classState.isPaying };
  if (grantOrPreempt(state, next, bounds, nowMs)) return;
  const newestExcess = classState.queue.peekNewestOfLargest() ?? record;
  refuseQueueFull(state, lowerTierWaiting ?? newestExcess, nowMs);
};

const findRefusal = (
  state: TieredState,
  classState: ClassState | undefined,
  ask: GrantRequest,
  nowMs: number,
): ResultCode | undefined => {
  const suspicion = state.suspicions.getState(ask.fingerprint);
  if (suspicion === SuspicionState.Quarantined) return ResultCode.Quarantined;
  if (state.configuration === undefined) return ResultCode.NotReady;
  if (classState?.isConfigured !== true) return ResultCode.UnknownClass;
  return ask.deadlineAtMs <= nowMs ? ResultCode.DeadlineBeforeStart : undefined;
};

/**
 * Handles an ask: grants, queues or refuses the request.
 *
 * @param state - dispatcher state, modified in place
 * @param ask - the daemon's request for a grant
 * @param nowMs - current time, in milliseconds
 */
export const handleAsk = (state: TieredState, ask: GrantRequest, nowMs: number): void => {
  if (answerRepeatedAsk(state, ask)) return;
  const classState = state.classByKey.get(buildClassKey(ask));
  if (classState !== undefined && ask.heldUpstream !== undefined) {
    registerHeldGrant(state, createRecord(state, classState, ask, nowMs), nowMs);
    return;
  }
  const code = findRefusal(state, classState, ask, nowMs);
  if (classState === undefined || code !== undefined) {
    refuseWithoutRecord(state, ask, code ?? ResultCode.UnknownClass, nowMs);
    return;
  }
  if (ask.isSuspect) state.suspicions.suspect(ask.fingerprint, nowMs);
  const record = createRecord(state, classState, ask, nowMs);
  enqueue(state, record);
  if (!isServable(state, classState, ask)) {
    const retryAfterMs = estimateRetryAfterMs(state, classState, nowMs);
    refuseRecord(state, record, ResultCode.NoUpstream, retryAfterMs, nowMs);
    return;
  }
  grantFreeSlots(state, nowMs);
  if (record.state !== RequestState.Waiting) return;
  ensureQueueLimit(state, record, nowMs);
  refuseTooLate(state, classState, nowMs);
};

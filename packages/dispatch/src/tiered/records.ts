import {
  findNextRequestState,
  RequestEvent,
  RequestState,
  SuspicionState,
} from '../charts/index.js';
import { DispatchActionKind, PreemptionMode } from '../enums.js';
import { applyExpectedTokens, applyTokenCharge, releaseExpectedTokens } from './shares.js';

import type { ResultCode } from '@sardinegrade/common';
import type { DispatchAction } from '../types.js';
import type { RequestRecord, TieredEngine, TieredState } from './types.js';

/** Cost of a prompt token relative to a generated token: prompt tokens are computed in parallel. */
const PROMPT_TOKEN_COST_RATIO = 0.1;

/**
 * Applies an event to a request's state, following the state chart.
 *
 * @param record - the request, modified in place
 * @param event - the event of the state chart
 * @returns whether the chart allows the event in the current state
 */
export const applyRequestEvent = (record: RequestRecord, event: RequestEvent): boolean => {
  const next = findNextRequestState(record.state, event);
  if (next === undefined) return false;
  record.state = next;
  return true;
};

/**
 * Converts the length of a prompt to the number of generated tokens of the same cost.
 *
 * @param promptTokens - length of the prompt
 * @returns a number of generated tokens, possibly fractional
 */
export const computePromptCost = (promptTokens: number): number =>
  promptTokens * PROMPT_TOKEN_COST_RATIO;

/**
 * Removes a waiting request from its queue and from the deadline heap.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the request
 */
export const removeFromQueue = (state: TieredState, record: RequestRecord): void => {
  record.classState.queue.remove(record);
  record.classState.constrained.delete(record);
  state.deadlines.remove(record);
};

const acquireSlot = (
  state: TieredState,
  record: RequestRecord,
  engine: TieredEngine,
  nowMs: number,
): void => {
  engine.running.add(record);
  engine.grantCounts.record(engine.running.size, nowMs);
  record.classState.running.add(record);
  record.slotAcquiredAtMs = nowMs;
  // The time of a pause must not count as a token interval.
  record.progressAtMs = undefined;
  applyExpectedTokens(state, record);
};

const releaseSlot = (
  state: TieredState,
  record: RequestRecord,
  engine: TieredEngine,
  nowMs: number,
): void => {
  if (!engine.running.delete(record)) return;
  engine.grantCounts.record(engine.running.size, nowMs);
  record.classState.running.delete(record);
  record.earlierHoldMs += nowMs - record.slotAcquiredAtMs;
  if (record.isGuaranteed) record.classState.guaranteedCount -= 1;
  record.isGuaranteed = false;
  releaseExpectedTokens(state, record);
};

/**
 * Marks a running request as granted by the guaranteed share of its class, which protects it from preemption.
 *
 * @param record - the running request, modified in place
 */
export const markGuaranteed = (record: RequestRecord): void => {
  if (record.isGuaranteed) return;
  record.isGuaranteed = true;
  record.classState.guaranteedCount += 1;
};

/**
 * Starts to account for a grant: a new one, or one of an earlier dispatcher that its daemon registers here.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the request
 * @param engine - the engine that runs the request
 * @param nowMs - current time, in milliseconds
 */
export const startGrant = (
  state: TieredState,
  record: RequestRecord,
  engine: TieredEngine,
  nowMs: number,
): void => {
  const { ask, classState } = record;
  record.engine = engine;
  acquireSlot(state, record, engine, nowMs);
  applyTokenCharge(state, classState, computePromptCost(ask.promptTokens));
  classState.queue.applyCharge(ask.workspace, record.cost);
  engine.prefixes.recordGrant(ask.prefixBlocks, nowMs);
  if (isUnderSuspicion(state, record)) startSuspectRetry(state, record, nowMs);
};

const startSuspectRetry = (state: TieredState, record: RequestRecord, nowMs: number): void => {
  record.isSuspectRetry = true;
  state.runningSuspects.set(record.ask.fingerprint, record);
  state.suspicions.startRetry(record.ask.fingerprint, nowMs);
};

/**
 * Returns whether a request is suspected to have crashed an engine.
 *
 * @param state - dispatcher state
 * @param record - the request
 * @returns whether it may run only as the single suspect on its engine
 */
export const isUnderSuspicion = (state: TieredState, record: RequestRecord): boolean =>
  state.suspicions.getState(record.ask.fingerprint) !== SuspicionState.Clear;

/**
 * Grants an engine to a waiting request.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the request
 * @param engine - an engine that may run the request
 * @param nowMs - current time, in milliseconds
 */
export const grantRecord = (
  state: TieredState,
  record: RequestRecord,
  engine: TieredEngine,
  nowMs: number,
): void => {
  if (!applyRequestEvent(record, RequestEvent.Grant)) return;
  removeFromQueue(state, record);
  startGrant(state, record, engine, nowMs);
  state.actions.push(buildGrant(record, engine));
};

/**
 * Builds the action that grants an engine.
 *
 * @param record - the request
 * @param engine - the granted engine
 * @returns the grant action
 */
export const buildGrant = (record: RequestRecord, engine: TieredEngine): DispatchAction => ({
  kind: DispatchActionKind.Grant,
  askId: record.ask.askId,
  upstream: engine.id,
  priority: record.priority,
});

/**
 * Refuses a waiting request; it has not run.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the request
 * @param code - reason of the refusal
 * @param retryAfterMs - delay before the caller may retry, in milliseconds; undefined if a retry would not help
 * @param nowMs - current time, in milliseconds
 */
export const refuseRecord = (
  state: TieredState,
  record: RequestRecord,
  code: ResultCode,
  retryAfterMs: number | undefined,
  nowMs: number,
): void => {
  if (!applyRequestEvent(record, RequestEvent.Refuse)) return;
  removeFromQueue(state, record);
  const { askId } = record.ask;
  const refusal = { kind: DispatchActionKind.Refuse, askId, code, retryAfterMs } as const;
  state.records.delete(askId);
  state.recentlyEnded.set(askId, { atMs: nowMs, refusal });
  state.actions.push(refusal);
};

const PREEMPTION_EVENTS: Readonly<Record<PreemptionMode, RequestEvent>> = {
  [PreemptionMode.Pause]: RequestEvent.Pause,
  [PreemptionMode.Resume]: RequestEvent.Resume,
  [PreemptionMode.Cancel]: RequestEvent.Cancel,
};

/**
 * Pauses, resumes or cancels a request that was granted an engine.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the request
 * @param mode - whether to pause, resume or cancel it
 * @param nowMs - current time, in milliseconds
 */
export const preemptRecord = (
  state: TieredState,
  record: RequestRecord,
  mode: PreemptionMode,
  nowMs: number,
): void => {
  const { engine, classState } = record;
  if (engine === undefined || !applyRequestEvent(record, PREEMPTION_EVENTS[mode])) return;
  classState.paused.delete(record);
  engine.paused.delete(record);
  if (record.state === RequestState.Granted) acquireSlot(state, record, engine, nowMs);
  else releaseSlot(state, record, engine, nowMs);
  if (record.state === RequestState.Paused) {
    record.wasPaused = true;
    classState.paused.add(record);
    engine.paused.add(record);
  }
  state.actions.push({ kind: DispatchActionKind.Preempt, askId: record.ask.askId, mode });
};

/**
 * Ends a request that was granted an engine, and releases its slot and the tokens reserved for it.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the request
 * @param event - the event that ended it
 * @param nowMs - current time, in milliseconds
 */
export const finishGrant = (
  state: TieredState,
  record: RequestRecord,
  event: RequestEvent,
  nowMs: number,
): void => {
  if (!applyRequestEvent(record, event)) return;
  const { ask, classState, engine } = record;
  if (engine !== undefined) {
    releaseSlot(state, record, engine, nowMs);
    engine.paused.delete(record);
  }
  classState.paused.delete(record);
  classState.queue.applyCharge(ask.workspace, -Math.max(0, record.expectedTokens - record.tokens));
  if (state.runningSuspects.get(ask.fingerprint) === record)
    state.runningSuspects.delete(ask.fingerprint);
  state.records.delete(ask.askId);
  state.recentlyEnded.set(ask.askId, { atMs: nowMs, refusal: undefined });
};

import { RequestEvent, RequestState } from '../charts/index.js';
import { updateAverage } from '../collections/index.js';
import { ReleaseReason } from '../enums.js';
import { updateLimit } from '../engines/index.js';
import { requestProbe } from './engineEvents.js';
import { finishGrant, removeFromQueue } from './records.js';
import { applyTokenCharge } from './shares.js';

import type { GrantRelease } from '../types.js';
import type { RequestRecord, TieredEngine, TieredState } from './types.js';

const SAMPLE_WEIGHT = 0.05;

/** An engine that refused a grant receives no further grants for this time. */
const REFUSED_BLOCK_MS = 250;

/** An engine to which a connection failed receives no grants until a probe passes, or for this time. */
const CONNECTION_FAILURE_BLOCK_MS = 500;

/** How long a failed connection is kept as evidence that its engine crashed. */
const CONNECTION_FAILURE_LIFETIME_MS = 10_000;

const updateEngineLimit = (
  state: TieredState,
  record: RequestRecord,
  sample: { tokenIntervalMs?: number | undefined; firstTokenMs?: number | undefined },
  nowMs: number,
): void => {
  const { engine, classState } = record;
  if (engine === undefined) return;
  const { firstTokenTargetMs, tokenIntervalTargetMs } = classState.definition;
  const { tokenIntervalMs, firstTokenMs } = sample;
  updateLimit(
    engine,
    { tokenIntervalMs, firstTokenMs, firstTokenTargetMs },
    tokenIntervalTargetMs,
    nowMs,
  );
  if (!state.tuning.adaptsLimits) engine.limit = engine.slots;
};

/** Charges received tokens to the class; tokens beyond the estimate are charged to the workspace, too. */
const recordTokens = (state: TieredState, record: RequestRecord, tokens: number): void => {
  const newTokens = tokens - record.tokens;
  if (newTokens <= 0) return;
  const { classState, ask } = record;
  const reservedTokens = Math.min(newTokens, record.outstandingTokens);
  record.outstandingTokens -= reservedTokens;
  applyTokenCharge(state, classState, newTokens - reservedTokens);
  const excessTokens = tokens - Math.max(record.tokens, record.expectedTokens);
  if (excessTokens > 0) classState.queue.applyCharge(ask.workspace, excessTokens);
  record.tokens = tokens;
};

/**
 * Handles the progress of a running answer.
 *
 * @param state - dispatcher state, modified in place
 * @param askId - identifier of the request, unique per attempt
 * @param tokens - number of tokens since the grant; a delayed report with fewer tokens is ignored
 * @param nowMs - current time, in milliseconds
 */
export const handleProgress = (
  state: TieredState,
  askId: string,
  tokens: number,
  nowMs: number,
): void => {
  const record = state.records.get(askId);
  if (record?.engine === undefined || tokens <= record.tokens) return;
  const newTokens = tokens - record.tokens;
  const gapMs = record.progressAtMs === undefined ? undefined : nowMs - record.progressAtMs;
  recordTokens(state, record, tokens);
  if (record.state !== RequestState.Granted) return;
  record.progressAtMs = nowMs;
  if (gapMs === undefined || gapMs <= 0) return;
  updateAverage(record.engine.progressGapMs, gapMs, nowMs, SAMPLE_WEIGHT);
  updateEngineLimit(state, record, { tokenIntervalMs: gapMs / newTokens }, nowMs);
};

const recordMeasurements = (
  state: TieredState,
  record: RequestRecord,
  release: GrantRelease,
  nowMs: number,
): void => {
  const { firstTokenMs } = release;
  const tokenIntervalMs = record.wasPaused ? undefined : release.tokenIntervalMs;
  updateEngineLimit(state, record, { tokenIntervalMs, firstTokenMs }, nowMs);
  if (firstTokenMs !== undefined)
    updateAverage(state.firstTokenMs, firstTokenMs, nowMs, SAMPLE_WEIGHT);
  if (release.reason !== ReleaseReason.Finished) return;
  const isRunning = record.state === RequestState.Granted;
  const holdMs = record.earlierHoldMs + (isRunning ? nowMs - record.slotAcquiredAtMs : 0);
  updateAverage(record.classState.holdMs, holdMs, nowMs, SAMPLE_WEIGHT);
  updateAverage(state.holdMs, holdMs, nowMs, SAMPLE_WEIGHT);
  updateAverage(record.classState.outputTokens, release.tokens, nowMs, SAMPLE_WEIGHT);
};

type ReleaseHandler = (
  state: TieredState,
  record: RequestRecord,
  engine: TieredEngine,
  nowMs: number,
) => void;

const releaseSuspect = (state: TieredState, record: RequestRecord, nowMs: number): void => {
  if (record.isSuspectRetry) state.suspicions.releaseRetry(record.ask.fingerprint, nowMs);
};

const handleDied: ReleaseHandler = (state, record, engine, nowMs) => {
  const { fingerprint } = record.ask;
  const connectionFailure = { fingerprint, wasSuspect: record.isSuspectRetry, atMs: nowMs };
  const recentFailures = engine.recentConnectionFailures.filter(
    ({ atMs }) => nowMs - atMs < CONNECTION_FAILURE_LIFETIME_MS,
  );
  engine.recentConnectionFailures = [...recentFailures, connectionFailure];
  engine.blockedUntilMs = nowMs + CONNECTION_FAILURE_BLOCK_MS;
  releaseSuspect(state, record, nowMs);
  if (record.isSuspectRetry) state.suspicions.setRetryBlock(fingerprint, nowMs);
  requestProbe(state, engine, nowMs);
};

const handleFinished: ReleaseHandler = (state, record, _engine, nowMs) => {
  if (record.isSuspectRetry) state.suspicions.finishRetry(record.ask.fingerprint, nowMs);
};

const handleRefused: ReleaseHandler = (state, record, engine, nowMs) => {
  engine.blockedUntilMs = nowMs + REFUSED_BLOCK_MS;
  releaseSuspect(state, record, nowMs);
  requestProbe(state, engine, nowMs);
};

const handleSilent: ReleaseHandler = (state, record, engine, nowMs) => {
  releaseSuspect(state, record, nowMs);
  requestProbe(state, engine, nowMs);
};

const handleOther: ReleaseHandler = (state, record, _engine, nowMs) => {
  releaseSuspect(state, record, nowMs);
};

const RELEASE_HANDLERS: Readonly<Record<ReleaseReason, ReleaseHandler>> = {
  [ReleaseReason.Finished]: handleFinished,
  [ReleaseReason.CallerGone]: handleOther,
  [ReleaseReason.UpstreamRefused]: handleRefused,
  [ReleaseReason.UpstreamDied]: handleDied,
  [ReleaseReason.UpstreamSilent]: handleSilent,
  [ReleaseReason.Preempted]: handleOther,
};

/**
 * Handles the end of a grant; a repeated or delayed release is ignored.
 *
 * @param state - dispatcher state, modified in place
 * @param release - reason, token count and latencies
 * @param nowMs - current time, in milliseconds
 */
export const handleRelease = (state: TieredState, release: GrantRelease, nowMs: number): void => {
  const record = state.records.get(release.askId);
  if (record?.engine === undefined) return;
  recordTokens(state, record, release.tokens);
  recordMeasurements(state, record, release, nowMs);
  const { engine } = record;
  finishGrant(state, record, RequestEvent.Release, nowMs);
  RELEASE_HANDLERS[release.reason](state, record, engine, nowMs);
};

/**
 * Removes a request that its daemon has withdrawn, whether it is waiting or running.
 *
 * @param state - dispatcher state, modified in place
 * @param askId - identifier of the request, unique per attempt
 * @param nowMs - current time, in milliseconds
 */
export const handleWithdraw = (state: TieredState, askId: string, nowMs: number): void => {
  const record = state.records.get(askId);
  if (record === undefined) return;
  if (record.state === RequestState.Waiting) {
    removeFromQueue(state, record);
    record.state = RequestState.Ended;
    state.records.delete(askId);
    return;
  }
  finishGrant(state, record, RequestEvent.Withdraw, nowMs);
  // The daemon may have moved the request to another dispatcher and may send it here again.
  state.recentlyEnded.delete(askId);
  releaseSuspect(state, record, nowMs);
};
